package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// state is the control group's state on one host. It is owned by the goroutine
// of the host's node.
type state struct {
	machine *machine
	leases  *leases
	// term is the term in which the leases were granted.
	term    uint64
	rollout rollout
}

// startTerm prepares for leading in a new term: every member gets a full
// lease, as this host cannot know which leases the previous leader granted.
func (s *state) startTerm(term uint64, now time.Time) {
	if s.term == term {
		return
	}
	s.term = term
	s.leases.startTerm(s.machine.state.GetMembers(), now)
}

// dueCommands returns the commands that the leader should propose now.
func (s *state) dueCommands(limits *wire.Limits, shards uint32, now time.Time) []*wire.Command {
	members := s.machine.state.GetMembers()
	s.leases.reconcile(members, now)
	if s.machine.state.GetRetentionMillis() != limits.GetRetentionMillis() {
		return []*wire.Command{limitsCommand(limits)}
	}
	if dead := s.leases.expired(members, now); len(dead) > 0 {
		s.leases.end(dead)
		return []*wire.Command{declareDeadCommand(dead)}
	}
	p := newPlanner(s.machine.state, s.leases.quarantineCheck(now))
	s.leases.updateVacancies(s.machine.state.GetViews())
	p.vacancies, p.now = s.leases.vacancies, now
	if views := p.nextViews(shards); len(views) > 0 {
		return []*wire.Command{setViewsCommand(views)}
	}
	return nil
}

// isDeclaredDead reports whether a renewal comes from an incarnation that was
// declared dead and must stop. An incarnation that reports a directory version
// was a member once: if it no longer is, it was declared dead, even if its
// death is no longer recorded.
func (s *state) isDeclaredDead(q *wire.RenewRequest) bool {
	inc := q.GetMember().GetIncarnation()
	if s.machine.isDead(inc) {
		return true
	}
	return q.GetDirectoryVersion() > 0 && s.machine.member(inc) == nil
}

// report returns the view that results from a member's report, nil if the
// report changes nothing.
func (s *state) report(q *wire.ReportRequest, now time.Time) *wire.View {
	switch report := q.GetReport().(type) {
	case *wire.ReportRequest_Copied:
		view := s.view(report.Copied.GetShard(), report.Copied.GetEpoch())
		if view == nil || !contains(view.GetJoining(), q.GetReporter()) {
			return nil
		}
		return withBackup(view, q.GetReporter())
	case *wire.ReportRequest_Silent:
		inc := report.Silent.GetMember()
		view := s.view(report.Silent.GetShard(), report.Silent.GetEpoch())
		if view == nil || !wire.Same(view.GetPrimary(), q.GetReporter()) || wire.Same(view.GetPrimary(), inc) || !viewContains(view, inc) {
			return nil
		}
		s.leases.quarantine(view.GetShard(), inc, now)
		return withoutMember(view, inc)
	}
	return nil
}

// view returns the view of a shard if it has the given epoch, else nil.
func (s *state) view(shard uint32, epoch uint64) *wire.View {
	views := s.machine.state.GetViews()
	if int(shard) >= len(views) || views[shard].GetEpoch() != epoch {
		return nil
	}
	return views[shard]
}

// unchanged reports whether what a member announces about itself, other than
// its version, is already recorded.
func unchanged(known, announced *wire.Member) bool {
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

func declareDeadCommand(dead []*wire.Incarnation) *wire.Command {
	return &wire.Command{Command: &wire.Command_Declare{Declare: &wire.Declare{Dead: dead}}}
}

func setViewsCommand(views []*wire.View) *wire.Command {
	return &wire.Command{Command: &wire.Command_Move{Move: &wire.Move{Views: views}}}
}
