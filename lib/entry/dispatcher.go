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

const (
	// maxLook bounds the jobs that are looked at for a slow worker.
	maxLook = 16
	// recheckTime is when tasks that wait for a fast worker are looked at anew.
	recheckTime = 5 * time.Millisecond
	// defaultDeadline is for jobs whose kind names none.
	defaultDeadline = time.Minute
)

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

// settle takes the tasks over that ended before, and returns those to start.
func (d *dispatcher) settle(r *run, settled []*wire.TaskStatus) []*task {
	known := make([]bool, len(r.results))
	for _, s := range settled {
		if int(s.GetTask()) >= len(known) || known[s.GetTask()] {
			continue
		}
		switch s.GetState() {
		case wire.TaskState_TASK_STATE_NOT_STARTED:
		case wire.TaskState_TASK_STATE_DONE:
			known[s.GetTask()] = true
			r.results[s.GetTask()] = s.GetResult()
			r.left--
		case wire.TaskState_TASK_STATE_FAILED:
			d.fail(r, s.GetReason())
		default:
			d.fail(r, reasonUnknown)
		}
	}
	if r.left == 0 && !r.ended() {
		d.complete(r)
	}
	var tasks []*task
	for n, payload := range r.spec.GetPayloads() {
		if known[n] {
			continue
		}
		class := sizeClass(payload)
		tasks = append(tasks, &task{run: r, number: uint32(n), class: class, expected: r.kind.expected(class)})
	}
	return tasks
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

// rejoin brings a team that had nothing to do level with the others.
func (d *dispatcher) rejoin(t *team) {
	if t.waiting > 0 || t.account.Running > 0 {
		return
	}
	floor, found := 0.0, false
	for _, other := range d.teams {
		if other.waiting == 0 && other.account.Running == 0 {
			continue
		}
		if !found || other.account.Used < floor {
			floor, found = other.account.Used, true
		}
	}
	t.account = t.account.WithFloor(floor)
}

// dispatch starts waiting tasks on idle tokens. Jobs whose tasks rather wait
// for a faster worker are passed over.
func (d *dispatcher) dispatch(k *desk) {
	now := time.Now()
	var passed []*run
	var look fasterSlots
	ahead := 0
	for k.pool.idle > 0 && len(passed) < maxLook {
		r := k.queue.top()
		if r == nil {
			break
		}
		h := k.pool.take(now, r.urgency)
		if h == nil {
			break
		}
		n := look.waiting(k, r, h, ahead, now)
		if n < len(r.ready) {
			d.start(k.queue.take(r, n), h, now)
			continue
		}
		k.pool.put(h)
		k.queue.leave(r)
		passed = append(passed, r)
		ahead += n
	}
	for _, r := range passed {
		k.queue.enter(r)
	}
	if len(passed) > 0 {
		d.lookAgain(k)
	}
	d.borrow(k)
}

// lookAgain has a desk looked at once more, in case no task ends meanwhile.
func (d *dispatcher) lookAgain(k *desk) {
	if k.recheck {
		return
	}
	k.recheck = true
	time.AfterFunc(recheckTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		k.recheck = false
		d.dispatch(k)
	})
}

// desk returns the desk of a service.
func (d *dispatcher) desk(service string) *desk {
	k := d.desks[service]
	if k == nil {
		k = newDesk(service, d.startedAt)
		d.desks[service] = k
	}
	return k
}

// team returns the account of a team.
func (d *dispatcher) team(name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{name: name}
		d.teams[name] = t
		d.setQuota(t, d.follower.Directory())
	}
	return t
}

func (d *dispatcher) setQuota(t *team, directory *wire.Directory) {
	t.account = t.account.With(0, 0)
	for _, known := range directory.GetTeams() {
		if known.GetName() == t.name {
			t.account = t.account.With(known.GetWeight(), known.GetMaxRunning())
		}
	}
}

// kindOf returns the kind of a job as it is in force; nil where there is none.
func (d *dispatcher) kindOf(spec *wire.JobSpec) *wire.Kind {
	return kindIn(d.follower.Directory(), spec.GetService(), spec.GetKind())
}

func kindIn(directory *wire.Directory, service, name string) *wire.Kind {
	for _, s := range directory.GetServices() {
		if s.GetName() != service {
			continue
		}
		for _, kind := range s.GetKinds() {
			if kind.GetName() == name {
				return kind
			}
		}
	}
	return nil
}

// deadlineOf returns when a job must be done.
func deadlineOf(job Job, kind *wire.Kind, now time.Time) time.Time {
	if !job.Deadline.IsZero() {
		return job.Deadline
	}
	for _, millis := range []int64{job.Spec.GetDeadlineMillis(), kind.GetDeadlineMillis()} {
		if millis > 0 {
			return now.Add(time.Duration(millis) * time.Millisecond)
		}
	}
	return now.Add(defaultDeadline)
}
