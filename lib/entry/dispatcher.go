package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/quota"
	"skylarklane.example/lib/wire"
)

// defaultDeadline applies to jobs if neither the submission nor the kind sets a
// deadline.
const defaultDeadline = time.Minute

// members provides the member of this entry and the directory of all members.
// Changed returns a channel that is closed at the next change.
type members interface {
	Member() *wire.Member
	Directory() *wire.Directory
	Changed() <-chan struct{}
}

// dispatcher queues the tasks of jobs and starts them on tokens: leases of
// single worker slots.
type dispatcher struct {
	follower members
	client   *http.Client
	policy   placement.Policy
	log      *slog.Logger
	scope    tally.Scope
	self     *wire.Incarnation
	// startedAt is when the entry began to receive capacities of agents.
	startedAt time.Time

	mu       sync.Mutex
	fleet    *fleet
	services map[string]*serviceState
	teams    map[string]*team
	jobs     map[string]*run
	// order is the sequence number of the latest job.
	order  uint64
	budget quota.RetryBudget
	// history remembers the refused jobs, by the time since startedAt.
	history *admission.History
	leaving bool
	// work tracks the goroutines of starts and cancellations.
	work sync.WaitGroup
}

func newDispatcher(follower members, client *http.Client, policy placement.Policy, log *slog.Logger, scope tally.Scope) *dispatcher {
	return &dispatcher{
		follower: follower,
		client:   client,
		policy:   policy,
		log:      log,
		scope:    scope,
		self:     follower.Member().GetIncarnation(),
		fleet:    newFleet(),
		services: map[string]*serviceState{},
		teams:    map[string]*team{},
		jobs:     map[string]*run{},
		budget:   quota.NewRetryBudget(),
		history:  admission.NewHistory(),

		startedAt: time.Now(),
	}
}

// Run starts the tasks of a job and waits for its outcome. Cancelling ctx
// cancels the job.
func (d *dispatcher) Run(ctx context.Context, job Job) *wire.Outcome {
	r := d.begin(job)
	expiry := time.AfterFunc(time.Until(r.deadline), func() { d.lockAndFail(r, reasonDeadline) })
	defer expiry.Stop()
	select {
	case <-r.done:
	case <-ctx.Done():
		d.lockAndFail(r, reasonCancelled)
		<-r.done
	}
	return r.outcome
}

// Cancel cancels the job with the key. It returns false if no such job runs
// here.
func (d *dispatcher) Cancel(key string) bool {
	d.mu.Lock()
	r := d.jobs[key]
	d.mu.Unlock()
	if r == nil {
		return false
	}
	d.lockAndFail(r, reasonCancelled)
	return true
}

// begin registers a job and queues its tasks.
func (d *dispatcher) begin(job Job) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	spec := job.Spec
	svc := d.serviceState(spec.GetService())
	kind := d.currentKind(spec)
	d.order++
	r := &run{
		key:          job.Key,
		spec:         spec,
		serviceState: svc,
		kind:         svc.kind(spec.GetKind(), time.Duration(kind.GetExpectedRunMillis())*time.Millisecond),
		team:         d.team(spec.GetTeam()),
		urgency:      min(kind.GetUrgency(), wire.Urgency_URGENCY_URGENT),
		deadline:     deadlineOf(job, kind, now),
		place:        d.takePlace(job.Key, now),
		order:        d.order,
		started:      map[uint32]*task{},
		unfinished:   len(spec.GetPayloads()),
		results:      make([][]byte, len(spec.GetPayloads())),
		done:         make(chan struct{}),
		heapIndex:    -1,
	}
	d.jobs[r.key] = r
	tasks := d.applyRecovered(r, job.Recovered)
	if r.ended() {
		return r
	}
	d.enqueueOrPush(r, tasks)
	return r
}

// enqueueOrPush queues tasks, or pushes them to workers if the placement policy
// uses no tokens.
func (d *dispatcher) enqueueOrPush(r *run, tasks []*task) {
	if !d.usesTokens() {
		d.pushToWorkers(r, tasks)
		return
	}
	slices.SortStableFunc(tasks, func(a, b *task) int {
		if a.expected != b.expected {
			return int(a.expected - b.expected)
		}
		return int(b.number) - int(a.number)
	})
	d.raiseUsage(r.team)
	for _, t := range tasks {
		r.serviceState.queue.push(t)
	}
	d.dispatch(r.serviceState)
}
