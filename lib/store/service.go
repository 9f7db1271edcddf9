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
	// callTimeout bounds each call, even if the caller's deadline is later.
	callTimeout = 2500 * time.Millisecond
	// maxPending bounds the commands that wait to be synced, so that other
	// users of the same log are not delayed.
	maxPending = 256
	// tickInterval is how often the leader checks for dead owners and expired
	// ended jobs.
	tickInterval = 500 * time.Millisecond
)

// Log is the replicated log of a job store, as seen from one host.
type Log interface {
	// Propose replicates a command and returns the state machine's result.
	// Errors are those of quorum.Group.
	Propose(ctx context.Context, command *wire.StoreCommand) (any, error)
	// Read runs f on the state machine if this host is the leader and up to
	// date. f may still run after Read has returned an error.
	Read(ctx context.Context, f func(m *Machine, members Members, term uint64)) error
	// Leader returns the address of the leader that an error of Propose or Read
	// names, or "".
	Leader(err error) string
}

// Service implements wire.JobStore on one host. A host that is not the leader
// replies with the leader's address. If no leader is known or the outcome is in
// doubt, the call fails as unavailable.
type Service struct {
	log        Log
	now        func() time.Time
	logger     *slog.Logger
	refused    *metric.Counters
	unanswered *metric.Counters
	jobs       tally.Gauge
	bytes      tally.Gauge
	// pending is a semaphore that bounds the waiting commands.
	pending chan struct{}
	// tracker is used only by the goroutine of Log.Read.
	tracker tracker
}

var _ wire.JobStore = (*Service)(nil)

// NewService returns the service of a host. Its clock should include time
// during which the machine is suspended. Run must be called for ended jobs to
// be removed.
func NewService(log Log, now func() time.Time, logger *slog.Logger, scope tally.Scope) *Service {
	return &Service{
		log: log, now: now, logger: logger,
		refused:    metric.NewReasonCounters(scope, "store_refused"),
		unanswered: metric.NewReasonCounters(scope, "store_unanswered"),
		jobs:       scope.Gauge("store_jobs"),
		bytes:      scope.Gauge("store_bytes"),
		pending:    make(chan struct{}, maxPending),
	}
}

// Run periodically looks for dead owners and removes expired ended jobs until
// ctx ends.
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

// tick updates the gauges, looks for dead owners and removes expired ended
// jobs.
func (s *Service) tick(ctx context.Context) {
	expired, err := read(ctx, s, func(m *Machine, members Members, term uint64) uint64 {
		s.jobs.Update(float64(len(m.jobs)))
		s.bytes.Update(float64(m.bytes))
		expired := s.tracker.observe(m, members, term, s.now())
		if expired <= m.forgottenCount {
			return 0
		}
		return expired
	})
	if err != nil || expired == 0 {
		return
	}
	_, _ = s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Forget{Forget: &wire.StoreForget{Until: expired}}})
}

// Keep implements wire.JobStore.
func (s *Service) Keep(ctx context.Context, q *wire.KeepRequest) (*wire.KeepReply, error) {
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Keep{Keep: q}})
	if err != nil {
		leader, err := s.leaderOrError(err)
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
		leader, err := s.leaderOrError(err)
		return &wire.NoteReply{Leader: leader}, err
	}
	reply := result.(*wire.NoteReply)
	for i, noteResult := range reply.GetResults() {
		if !noteResult.GetStored() {
			s.refused.Inc(noteResult.GetReason())
			event.NoteRefused.Log(ctx, s.logger, slog.String("job", q.GetNotes()[i].GetId()), slog.String("reason", noteResult.GetReason()),
				slog.String("entry", q.GetOwner().GetId()), slog.Uint64("epoch", q.GetNotes()[i].GetEpoch()))
		}
	}
	return reply, nil
}

// CancelKept implements wire.JobStore.
func (s *Service) CancelKept(ctx context.Context, q *wire.CancelKeptRequest) (*wire.CancelKeptReply, error) {
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Cancel{Cancel: q}})
	if err != nil {
		leader, err := s.leaderOrError(err)
		return &wire.CancelKeptReply{Leader: leader}, err
	}
	return result.(*wire.CancelKeptReply), nil
}

// reconciliation is the first part of the answer to a ClaimJobs call: the reply
// so far, and the jobs of dead owners that may be assigned in addition.
type reconciliation struct {
	reply *wire.ClaimJobsReply
	jobs  []*wire.HeldJob
}

// ClaimJobs implements wire.JobStore.
func (s *Service) ClaimJobs(ctx context.Context, q *wire.ClaimJobsRequest) (*wire.ClaimJobsReply, error) {
	plan, err := read(ctx, s, func(m *Machine, members Members, term uint64) reconciliation {
		now := s.now()
		s.tracker.observe(m, members, term, now)
		return reconciliation{reply: m.reconciliation(q), jobs: s.tracker.claimable(m, int(q.GetLimit()), now)}
	})
	if err == nil && len(plan.jobs) > 0 {
		err = s.claim(ctx, q.GetOwner(), plan)
	}
	if err != nil {
		leader, err := s.leaderOrError(err)
		return &wire.ClaimJobsReply{Leader: leader}, err
	}
	return plan.reply, nil
}

// claim proposes to assign the jobs of the plan to the owner, and adds the jobs
// that were assigned to the reply.
func (s *Service) claim(ctx context.Context, owner *wire.Incarnation, plan reconciliation) error {
	claim := &wire.StoreClaim{Owner: owner, Jobs: plan.jobs}
	result, err := s.propose(ctx, &wire.StoreCommand{Command: &wire.StoreCommand_Claim{Claim: claim}})
	if err != nil {
		return err
	}
	claimed := result.([]*wire.JobRecord)
	for _, r := range claimed {
		event.JobClaimed.Log(ctx, s.logger, slog.String("job", r.GetJob().GetId()), slog.String("entry", owner.GetId()),
			slog.Uint64("epoch", r.GetEpoch()))
	}
	plan.reply.Jobs = append(plan.reply.Jobs, claimed...)
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
		leader, err := s.leaderOrError(err)
		return &wire.ReadJobReply{Leader: leader}, err
	}
	return reply, nil
}

// CountJobs implements wire.JobStore.
func (s *Service) CountJobs(ctx context.Context, q *wire.CountJobsRequest) (*wire.CountJobsReply, error) {
	queuedCount, err := read(ctx, s, func(m *Machine, _ Members, _ uint64) uint64 {
		return m.queuedCount[queue{service: q.GetService(), kind: q.GetKind()}]
	})
	if err != nil {
		leader, err := s.leaderOrError(err)
		return &wire.CountJobsReply{Leader: leader}, err
	}
	return &wire.CountJobsReply{Waiting: queuedCount}, nil
}

// propose replicates a command. At most maxPending commands wait at a time.
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

// read runs f on the leader's state machine and returns its result.
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

// Reasons for which this host did not answer a call.
const (
	unansweredNotLeader = "notLeader"
	unansweredNoLeader  = "noLeader"
	unansweredBusy      = "busy"
	unansweredInDoubt   = "inDoubt"
)

// metaNotDone is the metadata key of errors after which the call had no effect.
const metaNotDone = "notDone"

// leaderOrError maps an error of the log to the address of the leader, or to an
// error if no leader is known or the call may have taken effect.
func (s *Service) leaderOrError(err error) (string, error) {
	var e *quorum.Error
	if IsNotDone(err) {
		s.unanswered.Inc(unansweredBusy)
		return "", notDoneError("too many calls wait", err)
	}
	if !errors.As(err, &e) || e.Kind != quorum.KindNotLeader {
		s.unanswered.Inc(unansweredInDoubt)
		return "", twirp.NewErrorf(twirp.Unavailable, "the call may have taken effect: %v", err)
	}
	if leader := s.log.Leader(err); leader != "" {
		s.unanswered.Inc(unansweredNotLeader)
		return leader, nil
	}
	s.unanswered.Inc(unansweredNoLeader)
	return "", notDoneError("no leader is known", err)
}

func notDoneError(why string, err error) error {
	return twirp.NewErrorf(twirp.Unavailable, "%s: %v", why, err).WithMeta(metaNotDone, why)
}
