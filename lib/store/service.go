package store

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/wire"
)

const (
	// callTimeout bounds each call, also where its caller would wait longer.
	callTimeout = 2500 * time.Millisecond
	// maxPending bounds the commands that wait to be synced, so that others that
	// share the log are not held up.
	maxPending = 256
	// tickInterval is how often the leader looks for the dead and the ended.
	tickInterval = 500 * time.Millisecond
)

// Log is the replicated log of a store, as one of its hosts sees it.
type Log interface {
	// Propose has the group carry a command out and returns the machine's
	// result. Errors are those of quorum.Group.
	Propose(ctx context.Context, command *wire.StoreCommand) (any, error)
	// Read runs f on the machine while this host leads and is current. After an
	// error f may still run.
	Read(ctx context.Context, f func(m *Machine, members Members, term uint64)) error
	// Leader returns the address of the leader that an error names, or "".
	Leader(err error) string
}

// Service implements wire.JobStore on one host. A host that does not lead
// names the leader; one that knows none, and one in doubt, is unavailable.
type Service struct {
	log     Log
	now     func() time.Time
	logger  *slog.Logger
	refused *metric.Counters
	calls   *metric.Counters
	jobs    tally.Gauge
	bytes   tally.Gauge
	// pending has a place for each command that waits.
	pending chan struct{}
	// watch belongs to the goroutine of Log.Read.
	watch watch
}

var _ wire.JobStore = (*Service)(nil)

// NewService returns the service of a host. Its clock should count the time
// during which the machine is suspended. Run starts what it does by itself.
func NewService(log Log, now func() time.Time, logger *slog.Logger, scope tally.Scope) *Service {
	return &Service{
		log: log, now: now, logger: logger,
		refused: metric.Reasons(scope, "store_refused"),
		calls:   metric.Reasons(scope, "store_unanswered"),
		jobs:    scope.Gauge("store_jobs"),
		bytes:   scope.Gauge("store_bytes"),
		pending: make(chan struct{}, maxPending),
	}
}

// Run forgets ended jobs in time until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.tick(ctx)
	}
}

func (s *Service) tick(ctx context.Context) {
	until, err := read(ctx, s, func(m *Machine, members Members, term uint64) uint64 {
		s.jobs.Update(float64(len(m.jobs)))
		s.bytes.Update(float64(m.bytes))
		until := s.watch.observe(m, members, term, s.now())
		if until <= m.forgotten {
			return 0
		}
		return until
	})
	if err != nil || until == 0 {
		return
	}
	_, _ = s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Forget{Forget: &wire.StoreForget{Until: until}}})
}

// Keep implements wire.JobStore.
func (s *Service) Keep(ctx context.Context, q *wire.KeepRequest) (*wire.KeepReply, error) {
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Keep{Keep: q}})
	if err != nil {
		leader, err := s.elsewhere(err)
		return &wire.KeepReply{Leader: leader}, err
	}
	reply := result.(*wire.KeepReply)
	if !reply.GetStored() {
		s.refused.Inc(reply.GetReason())
		event.KeepRefused.Log(ctx, s.logger, slog.String("job", q.GetJob().GetId()), slog.String("reason", reply.GetReason()),
			slog.String("entry", q.GetOwner().GetId()))
	}
	return reply, nil
}

// Note implements wire.JobStore.
func (s *Service) Note(ctx context.Context, q *wire.NoteRequest) (*wire.NoteReply, error) {
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Note{Note: q}})
	if err != nil {
		leader, err := s.elsewhere(err)
		return &wire.NoteReply{Leader: leader}, err
	}
	reply := result.(*wire.NoteReply)
	for i, one := range reply.GetResults() {
		if !one.GetStored() {
			s.refused.Inc(one.GetReason())
			event.NoteRefused.Log(ctx, s.logger, slog.String("job", q.GetNotes()[i].GetId()), slog.String("reason", one.GetReason()),
				slog.String("entry", q.GetOwner().GetId()), slog.Uint64("epoch", q.GetNotes()[i].GetEpoch()))
		}
	}
	return reply, nil
}

// CancelKept implements wire.JobStore.
func (s *Service) CancelKept(ctx context.Context, q *wire.CancelKeptRequest) (*wire.CancelKeptReply, error) {
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Cancel{Cancel: q}})
	if err != nil {
		leader, err := s.elsewhere(err)
		return &wire.CancelKeptReply{Leader: leader}, err
	}
	return result.(*wire.CancelKeptReply), nil
}

// review is what a leader knows when an owner asks for jobs.
type review struct {
	reply *wire.ClaimJobsReply
	jobs  []*wire.HeldJob
}

// ClaimJobs implements wire.JobStore.
func (s *Service) ClaimJobs(ctx context.Context, q *wire.ClaimJobsRequest) (*wire.ClaimJobsReply, error) {
	known, err := read(ctx, s, func(m *Machine, members Members, term uint64) review {
		now := s.now()
		s.watch.observe(m, members, term, now)
		return review{reply: m.review(q), jobs: s.watch.claimable(m, int(q.GetLimit()), now)}
	})
	if err == nil && len(known.jobs) > 0 {
		err = s.claim(ctx, q.GetOwner(), known)
	}
	if err != nil {
		leader, err := s.elsewhere(err)
		return &wire.ClaimJobsReply{Leader: leader}, err
	}
	return known.reply, nil
}

// claim adds to the answer what the owner gets of the dead.
func (s *Service) claim(ctx context.Context, who *wire.Incarnation, known review) error {
	claim := &wire.StoreClaim{Owner: who, Jobs: known.jobs}
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Claim{Claim: claim}})
	if err != nil {
		return err
	}
	claimed := result.([]*wire.JobRecord)
	for _, r := range claimed {
		event.JobClaimed.Log(ctx, s.logger, slog.String("job", r.GetJob().GetId()), slog.String("entry", who.GetId()),
			slog.Uint64("epoch", r.GetEpoch()))
	}
	known.reply.Jobs = append(known.reply.Jobs, claimed...)
	return nil
}

// ReadJob implements wire.JobStore.
func (s *Service) ReadJob(ctx context.Context, q *wire.ReadJobRequest) (*wire.ReadJobReply, error) {
	reply, err := read(ctx, s, func(m *Machine, _ Members, _ uint64) *wire.ReadJobReply {
		r := m.jobs[q.GetId()]
		if r == nil {
			return &wire.ReadJobReply{}
		}
		return &wire.ReadJobReply{Known: true, State: r.state}
	})
	if err != nil {
		leader, err := s.elsewhere(err)
		return &wire.ReadJobReply{Leader: leader}, err
	}
	return reply, nil
}

// CountJobs implements wire.JobStore.
func (s *Service) CountJobs(ctx context.Context, q *wire.CountJobsRequest) (*wire.CountJobsReply, error) {
	waiting, err := read(ctx, s, func(m *Machine, _ Members, _ uint64) uint64 {
		return m.waiting[queue{service: q.GetService(), kind: q.GetKind()}]
	})
	if err != nil {
		leader, err := s.elsewhere(err)
		return &wire.CountJobsReply{Leader: leader}, err
	}
	return &wire.CountJobsReply{Waiting: waiting}, nil
}

// propose has a command carried out, as one of a bounded number.
func (s *Service) propose(ctx context.Context, command *wire.StoreCommand) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case s.pending <- struct{}{}:
	case <-ctx.Done():
		return nil, &Error{Op: "wait", Kind: KindNotDone, Err: ctx.Err()}
	}
	defer s.release()
	command.AtMillis = time.Now().UnixMilli()
	return s.log.Propose(ctx, command)
}

func (s *Service) release() { <-s.pending }

// read runs f on the leader's machine and returns its result.
func read[R any](ctx context.Context, s *Service, f func(m *Machine, members Members, term uint64) R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := make(chan R, 1)
	err := s.log.Read(ctx, func(m *Machine, members Members, term uint64) { result <- f(m, members, term) })
	if err != nil {
		var none R
		return none, err
	}
	return <-result, nil
}

// Reasons for which a call is not answered here.
const (
	unansweredNotLeader = "notLeader"
	unansweredNoLeader  = "noLeader"
	unansweredBusy      = "busy"
	unansweredInDoubt   = "inDoubt"
)

// metaNotDone marks errors after which the call took no effect.
const metaNotDone = "notDone"

// elsewhere returns the address of the leader, or an error where it is not
// known, or where it is in doubt whether the call took effect.
func (s *Service) elsewhere(err error) (string, error) {
	var e *quorum.Error
	if IsNotDone(err) {
		s.calls.Inc(unansweredBusy)
		return "", notDone("too many calls wait", err)
	}
	if !errors.As(err, &e) || e.Kind != quorum.KindNotLeader {
		s.calls.Inc(unansweredInDoubt)
		return "", twirp.NewErrorf(twirp.Unavailable, "it is in doubt whether the call took effect: %v", err)
	}
	if leader := s.log.Leader(err); leader != "" {
		s.calls.Inc(unansweredNotLeader)
		return leader, nil
	}
	s.calls.Inc(unansweredNoLeader)
	return "", notDone("no leader is known", err)
}

func notDone(why string, err error) error {
	return twirp.NewErrorf(twirp.Unavailable, "%s: %v", why, err).WithMeta(metaNotDone, why)
}
