package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// state is what the control part of a host knows. The goroutine of its node
// owns it.
type state struct {
	machine *machine
	leases  *leases
	// term is the leadership that the leases belong to.
	term    uint64
	rollout rollout
}

// lead starts a leadership: whoever was a member before has a full lease, as
// this host cannot know what its predecessor granted.
func (s *state) lead(term uint64, now time.Time) {
	if s.term == term {
		return
	}
	s.term = term
	s.leases.grantAll(s.machine.state.GetMembers(), now)
}

// decisions returns the commands that the leader should log now.
func (s *state) decisions(limits *wire.Limits, shards uint32, now time.Time) []*wire.Command {
	members := s.machine.state.GetMembers()
	s.leases.forget(members)
	if s.machine.state.GetRetentionMillis() != limits.GetRetentionMillis() {
		return []*wire.Command{limitsCommand(limits)}
	}
	if dead := s.leases.expired(members, now); len(dead) > 0 {
		return []*wire.Command{declareCommand(dead)}
	}
	if views := newPlan(s.machine.state, s.leases.avoid(now)).steps(shards); len(views) > 0 {
		return []*wire.Command{moveCommand(views)}
	}
	return nil
}

// dead tells whether a renewal comes from an incarnation that must stop. One
// that follows the directory was a member once: where it is none any more, it
// was declared dead, however long ago.
func (s *state) dead(q *wire.RenewRequest) bool {
	who := q.GetMember().GetIncarnation()
	if s.machine.isDead(who) {
		return true
	}
	return q.GetDirectoryVersion() > 0 && s.machine.member(who) == nil
}

// report returns the view that follows from a member's observation, nil where
// it changes nothing.
func (s *state) report(q *wire.ReportRequest, now time.Time) *wire.View {
	switch report := q.GetReport().(type) {
	case *wire.ReportRequest_Copied:
		view := s.view(report.Copied.GetShard(), report.Copied.GetEpoch())
		if view == nil || !has(view.GetJoining(), q.GetReporter()) {
			return nil
		}
		return withBackup(view, q.GetReporter())
	case *wire.ReportRequest_Silent:
		who := report.Silent.GetMember()
		view := s.view(report.Silent.GetShard(), report.Silent.GetEpoch())
		if view == nil || !wire.Same(view.GetPrimary(), q.GetReporter()) || wire.Same(view.GetPrimary(), who) || !contains(view, who) {
			return nil
		}
		s.leases.silence(view.GetShard(), who, now)
		return without(view, who)
	}
	return nil
}

// view returns the view of a shard where its epoch is the one meant.
func (s *state) view(shard uint32, epoch uint64) *wire.View {
	views := s.machine.state.GetViews()
	if int(shard) >= len(views) || views[shard].GetEpoch() != epoch {
		return nil
	}
	return views[shard]
}

// unchanged tells whether a member announces what is known of it.
func unchanged(known, announced *wire.Member) bool {
	if known == nil {
		return false
	}
	announced = proto.CloneOf(announced)
	announced.Version = known.GetVersion()
	return proto.Equal(known, announced)
}

func joinCommand(member *wire.Member) *wire.Command {
	return &wire.Command{Command: &wire.Command_Join{Join: &wire.Join{Member: member}}}
}

func limitsCommand(limits *wire.Limits) *wire.Command {
	return &wire.Command{Command: &wire.Command_Limits{Limits: limits}}
}

func declareCommand(dead []*wire.Incarnation) *wire.Command {
	return &wire.Command{Command: &wire.Command_Declare{Declare: &wire.Declare{Dead: dead}}}
}

func moveCommand(views []*wire.View) *wire.Command {
	return &wire.Command{Command: &wire.Command_Move{Move: &wire.Move{Views: views}}}
}
