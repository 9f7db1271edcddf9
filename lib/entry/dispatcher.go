package entry

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/quota"
	"skylarklane.example/lib/wire"
)

// defaultDeadline is for jobs whose kind names none.
const defaultDeadline = time.Minute

// members is what a dispatcher needs to know of the system.
type members interface {
	Member() *wire.Member
	Directory() *wire.Directory
	Changed() <-chan struct{}
}

// dispatcher queues the tasks of jobs and starts them on tokens.
type dispatcher struct {
	follower members
	client   *http.Client
	policy   placement.Policy
	log      *slog.Logger
	scope    tally.Scope
	self     *wire.Incarnation
	// startedAt is when the entry began to hear of workers.
	startedAt time.Time

	mu      sync.Mutex
	fleet   *fleet
	desks   map[string]*desk
	teams   map[string]*team
	jobs    map[string]*run
	order   uint64
	budget  quota.Budget
	leaving bool
	// work counts the goroutines of starts.
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
		desks:    map[string]*desk{},
		teams:    map[string]*team{},
		jobs:     map[string]*run{},
		budget:   quota.NewBudget(),

		startedAt: time.Now(),
	}
}

// Run starts the tasks of a job and waits for its outcome. The end of ctx
// cancels the job.
func (d *dispatcher) Run(ctx context.Context, job Job) *wire.Outcome {
	r := d.begin(job)
	expiry := time.AfterFunc(time.Until(r.deadline), func() { d.stop(r, reasonDeadline) })
	defer expiry.Stop()
	select {
	case <-r.done:
	case <-ctx.Done():
		d.stop(r, reasonCancelled)
		<-r.done
	}
	return r.outcome
}

// Cancel stops the job with that key. It returns false where none runs here.
func (d *dispatcher) Cancel(key string) bool {
	d.mu.Lock()
	r := d.jobs[key]
	d.mu.Unlock()
	if r == nil {
		return false
	}
	d.stop(r, reasonCancelled)
	return true
}

// begin queues the tasks of a job.
func (d *dispatcher) begin(job Job) *run {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	spec := job.Spec
	k := d.desk(spec.GetService())
	kind := d.kindOf(spec)
	d.order++
	r := &run{
		key:      job.Key,
		spec:     spec,
		desk:     k,
		kind:     k.kind(spec.GetKind(), time.Duration(kind.GetExpectedRunMillis())*time.Millisecond),
		team:     d.team(spec.GetTeam()),
		urgency:  min(kind.GetUrgency(), wire.Urgency_URGENCY_URGENT),
		deadline: deadlineOf(job, kind, now),
		order:    d.order,
		started:  map[uint32]*task{},
		left:     len(spec.GetPayloads()),
		results:  make([][]byte, len(spec.GetPayloads())),
		done:     make(chan struct{}),
		place:    -1,
	}
	d.jobs[r.key] = r
	tasks := d.settle(r, job.Settled)
	if r.ended() {
		return r
	}
	d.submit(r, tasks)
	return r
}

// submit queues tasks, or starts them all where the workers queue them.
func (d *dispatcher) submit(r *run, tasks []*task) {
	if !d.usesTokens() {
		d.scatter(r, tasks)
		return
	}
	slices.SortStableFunc(tasks, func(a, b *task) int {
		if a.expected != b.expected {
			return int(a.expected - b.expected)
		}
		return int(b.number) - int(a.number)
	})
	d.rejoin(r.team)
	for _, t := range tasks {
		r.desk.queue.push(t)
	}
	d.dispatch(r.desk)
}
