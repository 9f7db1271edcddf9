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
	// maxJoinAttempts bounds how many times one renewal proposes to record its
	// member before the member has to retry.
	maxJoinAttempts = 3
	// forwardedRenewTimeout bounds a forwarded renewal.
	forwardedRenewTimeout = 400 * time.Millisecond
)

// Renew implements wire.Control. A host that is not the leader grants no lease:
// it returns the leader's address or forwards the renewal.
func (c *Control) Renew(ctx context.Context, q *wire.RenewRequest) (*wire.RenewReply, error) {
	if err := checkMember(q.GetMember()); err != nil {
		return nil, err
	}
	for range maxJoinAttempts {
		var reply *wire.RenewReply
		err := c.readAsLeader(ctx, func(s *state, now time.Time) {
			reply = s.renew(q, now)
			c.recordRollout(s, q)
		})
		if err != nil {
			return c.redirectRenewal(ctx, q, err)
		}
		if reply.GetDead() {
			c.scope.Counter("renew_refused_dead").Inc(1)
		}
		if reply != nil {
			c.addHosts(q, reply)
			return reply, nil
		}
		if _, err := c.propose(ctx, joinCommand(q.GetMember())); err != nil {
			return c.redirectRenewal(ctx, q, err)
		}
		c.logJoined(ctx, q.GetMember())
	}
	return &wire.RenewReply{}, nil
}

// recordRollout records which configuration a member uses, and measures how
// long a new configuration took to reach it.
func (c *Control) recordRollout(s *state, q *wire.RenewRequest) {
	if took, ok := s.rollout.observe(s.machine, q, time.Now()); ok {
		c.activationLatency.RecordDuration(took)
	}
	s.rollout.prune(s.machine.state.GetMembers())
}

// logJoined logs that a member was added to the directory or changed in it.
func (c *Control) logJoined(ctx context.Context, member *wire.Member) {
	event.MemberJoined.Log(ctx, c.log, slog.String("member", member.GetIncarnation().GetId()),
		slog.String("peerIncarnation", member.GetIncarnation().HexNumber()), slog.String("role", roleOf(member)),
		slog.String("address", member.GetAddress()), slog.Bool("leaving", member.GetLeaving()))
}

func roleOf(member *wire.Member) string {
	if member.GetRole() == wire.Role_ROLE_ENTRY {
		return event.PartEntry
	}
	return event.PartAgent
}

// addHosts adds the group's hosts to the reply if the member has another
// version of the list.
func (c *Control) addHosts(q *wire.RenewRequest, reply *wire.RenewReply) {
	list := c.hosts.Load()
	if list.version != q.GetHostsVersion() {
		reply.HostsVersion = list.version
		reply.Hosts = list.addresses
	}
}

// redirectRenewal returns the leader's address, or forwards the renewal to the
// leader if the member asks for that.
func (c *Control) redirectRenewal(ctx context.Context, q *wire.RenewRequest, err error) (*wire.RenewReply, error) {
	address := c.leaderAddress(err)
	if !q.GetForward() || address == "" {
		c.scope.Counter("renew_refused_not_leader").Inc(1)
		return &wire.RenewReply{Leader: address}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardedRenewTimeout)
	defer cancel()
	c.scope.Counter("renew_forwarded").Inc(1)
	forwarded := proto.CloneOf(q)
	forwarded.Forward = false
	return wire.NewControlProtobufClient("http://"+address, c.client).Renew(ctx, forwarded)
}

// Report implements wire.Control.
func (c *Control) Report(ctx context.Context, q *wire.ReportRequest) (*wire.ReportReply, error) {
	var view *wire.View
	err := c.readAsLeader(ctx, func(s *state, now time.Time) { view = s.report(q, now) })
	if err != nil {
		c.scope.Counter("report_refused_not_leader").Inc(1)
		return &wire.ReportReply{Leader: c.leaderAddress(err)}, nil
	}
	if view == nil {
		c.scope.Counter("report_refused_outdated").Inc(1)
		return &wire.ReportReply{}, nil
	}
	if _, err := c.propose(ctx, setViewsCommand([]*wire.View{view})); err != nil {
		return &wire.ReportReply{Leader: c.leaderAddress(err)}, nil
	}
	return &wire.ReportReply{}, nil
}

// renew grants a full lease, or none if the leader has decided to declare the
// member dead. It returns nil if the member must first be added to the directory
// or changed in it.
func (s *state) renew(q *wire.RenewRequest, now time.Time) *wire.RenewReply {
	if s.isDeclaredDead(q) {
		return &wire.RenewReply{Dead: true}
	}
	inc := q.GetMember().GetIncarnation()
	known := s.machine.member(inc)
	if known == nil {
		return nil
	}
	s.leases.recordRenewal(s.machine.state.GetMembers(), inc, q.GetDirectoryVersion(), now)
	if s.leases.isFinal(inc) {
		return &wire.RenewReply{}
	}
	if !unchanged(known, q.GetMember()) {
		return nil
	}
	reply := &wire.RenewReply{LeaseMillis: s.leases.length.Milliseconds(), KeepsJobs: !s.machine.jobs.IsEmpty()}
	if s.machine.state.GetVersion() == q.GetDirectoryVersion() {
		return reply
	}
	if q.GetDeltas() {
		reply.Delta = s.machine.delta(q)
	}
	if reply.Delta == nil {
		reply.Directory = s.machine.directory(q.GetMember().GetRole())
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
	case wire.Role_name[int32(member.GetRole())] == "":
		return twirp.InvalidArgumentError("member.role", "is not known")
	}
	return nil
}
