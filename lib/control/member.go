package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// maxJoinRounds bounds how often a renewal has its member logged before it
	// asks the member to come again.
	maxJoinRounds = 3
	// renewAttempt bounds a renewal that is passed on.
	renewAttempt = 400 * time.Millisecond
)

// Renew implements wire.Control. A host that does not lead names the leader
// and grants nothing.
func (c *Control) Renew(ctx context.Context, q *wire.RenewRequest) (*wire.RenewReply, error) {
	if err := checkMember(q.GetMember()); err != nil {
		return nil, err
	}
	for range maxJoinRounds {
		var reply *wire.RenewReply
		err := c.read(ctx, func(s *state, now time.Time) {
			reply = s.renew(q, now)
			c.measureRollout(s, q)
		})
		if err != nil {
			return c.renewElsewhere(ctx, q, err)
		}
		if reply.GetDead() {
			c.scope.Counter("renew_refused_dead").Inc(1)
		}
		if reply != nil {
			c.nameHosts(q, reply)
			return reply, nil
		}
		if _, err := c.propose(ctx, joinCommand(q.GetMember())); err != nil {
			return c.renewElsewhere(ctx, q, err)
		}
		c.noteJoined(ctx, q.GetMember())
	}
	return &wire.RenewReply{}, nil
}

// measureRollout takes in which configuration a member follows.
func (c *Control) measureRollout(s *state, q *wire.RenewRequest) {
	if took, ok := s.rollout.follow(s.machine, q, time.Now()); ok {
		c.inForce.RecordDuration(took)
	}
	s.rollout.prune(s.machine.state.GetMembers())
}

// noteJoined logs that a member is in the directory, or has changed there.
func (c *Control) noteJoined(ctx context.Context, member *wire.Member) {
	event.MemberJoined.Log(ctx, c.log, slog.String("member", member.GetIncarnation().GetId()),
		slog.String("peerIncarnation", member.GetIncarnation().Life()), slog.String("role", roleOf(member)),
		slog.String("address", member.GetAddress()), slog.Bool("leaving", member.GetLeaving()))
}

func roleOf(member *wire.Member) string {
	if member.GetRole() == wire.Role_ROLE_ENTRY {
		return event.PartEntry
	}
	return event.PartAgent
}

// nameHosts tells a member where the group's hosts are, where it knows others.
func (c *Control) nameHosts(q *wire.RenewRequest, reply *wire.RenewReply) {
	list := c.hosts.Load()
	if list.version != q.GetHostsVersion() {
		reply.HostsVersion = list.version
		reply.Hosts = list.addresses
	}
}

// renewElsewhere names the leader, or passes the renewal on to it.
func (c *Control) renewElsewhere(ctx context.Context, q *wire.RenewRequest, err error) (*wire.RenewReply, error) {
	address := c.leaderAddress(err)
	if !q.GetForward() || address == "" {
		c.scope.Counter("renew_refused_not_leader").Inc(1)
		return &wire.RenewReply{Leader: address}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, renewAttempt)
	defer cancel()
	c.scope.Counter("renew_forwarded").Inc(1)
	passed := proto.CloneOf(q)
	passed.Forward = false
	return wire.NewControlProtobufClient("http://"+address, c.client).Renew(ctx, passed)
}

// Report implements wire.Control.
func (c *Control) Report(ctx context.Context, q *wire.ReportRequest) (*wire.ReportReply, error) {
	var view *wire.View
	err := c.read(ctx, func(s *state, now time.Time) { view = s.report(q, now) })
	if err != nil {
		c.scope.Counter("report_refused_not_leader").Inc(1)
		return &wire.ReportReply{Leader: c.leaderAddress(err)}, nil
	}
	if view == nil {
		c.scope.Counter("report_refused_outdated").Inc(1)
		return &wire.ReportReply{}, nil
	}
	if _, err := c.propose(ctx, moveCommand([]*wire.View{view})); err != nil {
		return &wire.ReportReply{Leader: c.leaderAddress(err)}, nil
	}
	return &wire.ReportReply{}, nil
}

// renew extends a lease. It returns nil where the member must be logged first.
func (s *state) renew(q *wire.RenewRequest, now time.Time) *wire.RenewReply {
	if s.dead(q) {
		return &wire.RenewReply{Dead: true}
	}
	member := q.GetMember()
	if !unchanged(s.machine.member(member.GetIncarnation()), member) {
		return nil
	}
	s.leases.hear(s.machine.state.GetMembers(), member.GetIncarnation(), q.GetDirectoryVersion(), now)
	reply := &wire.RenewReply{LeaseMillis: s.leases.length.Milliseconds(), KeepsJobs: !s.machine.jobs.IsEmpty()}
	if s.machine.state.GetVersion() == q.GetDirectoryVersion() {
		return reply
	}
	if q.GetDeltas() {
		reply.Delta = s.machine.delta(q.GetDirectoryVersion(), q.GetConfigVersion())
	}
	if reply.Delta == nil {
		reply.Directory = s.machine.directory()
	}
	return reply
}

func checkMember(member *wire.Member) error {
	switch {
	case member.GetIncarnation().GetId() == "":
		return twirp.RequiredArgumentError("member.incarnation.id")
	case member.GetAddress() == "":
		return twirp.RequiredArgumentError("member.address")
	case member.GetRole() == wire.Role_ROLE_UNSPECIFIED:
		return twirp.RequiredArgumentError("member.role")
	}
	return nil
}
