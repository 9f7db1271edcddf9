package job

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// tickInterval is how often deadlines and unresponsive agents are
	// checked.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the same while there are no jobs.
	idleTickInterval = 50 * time.Millisecond
	// suspensionThreshold is the time without a tick from which the process
	// counts as having been suspended.
	suspensionThreshold = 250 * time.Millisecond
	// resumePause is how long nothing is started after a suspension, so that
	// callers that disconnected meanwhile are noticed first.
	resumePause = 100 * time.Millisecond
	// maxSuspension is the length of a suspension from which open best-effort
	// jobs are given up: sessions have ended, and callers may have resubmitted
	// their jobs elsewhere.
	maxSuspension       = 700 * time.Millisecond
	defaultMaxQueued    = 256
	defaultRemoteFactor = 1.5
)

// Config configures a Dispatcher. The zero value is usable.
type Config struct {
	// DataCentre is the entry's data centre. Among equally fast workers, those
	// in it are preferred.
	DataCentre string
	// MaxQueued bounds the queued best-effort jobs.
	MaxQueued int
	// RemoteFactor is the factor by which a task takes longer outside the rack
	// that its step prefers.
	RemoteFactor float64
	// Session is how long a session at an agent lasts after the call that
	// renewed it. An agent runs an entry's tasks only while the entry has a
	// session there. It must match the agents' setting. SetTiming changes it.
	Session time.Duration
	// RunGrace is how long after the end of their session runs may continue if
	// their agent has failed too.
	RunGrace time.Duration
	// YieldDelay is the delay of launches to an agent for which entries
	// compete, so that more urgent jobs of other entries come first. It applies
	// once per priority level, and once more to late jobs that have not
	// started.
	YieldDelay time.Duration
	// IsEvacuated reports whether a data centre is evacuated. It is polled with the
	// directory. A nil func means that none is.
	IsEvacuated func(dataCentre string) bool
	// HasPriorities reports whether the kinds of a service have more than one
	// priority. Only tasks of such services wait at agents for capacity. A nil func
	// means that no service has.
	HasPriorities func(service string) bool
	// Entries returns the number of entries that compete for the workers; nil if
	// it is unknown.
	Entries func() int
}

// Dispatcher runs the jobs of one entry. mu guards its state; calls to agents
// are made without holding it.
type Dispatcher struct {
	cfg     Config
	self    *wire.Incarnation
	agents  func() []*wire.Member
	client  *http.Client
	clock   clock.Clock
	log     *slog.Logger
	metrics *metrics
	// ctx ends with Run; calls to agents are made under it.
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup

	mu sync.Mutex
	// links maps the IDs of agents to the links to them; ranked holds them in the order
	// in which agents are preferred, and unlisted counts those that are kept for their
	// runs though the directory doesn't list their agents.
	links    map[string]*link
	ranked   []*link
	unlisted int
	// readMembers are the members of which links and ranked were made.
	readMembers []*wire.Member
	// evacuated holds the data centres whose evacuation is in force here, and
	// evacuatedAgents counts the agents there.
	evacuated       map[string]bool
	evacuatedAgents int
	// unstarted lists the new links whose loop has not begun.
	unstarted []*link
	// demandAt is when the newest job of each service was received, and neededAt
	// when more agents of it were last watched.
	demandAt map[string]time.Duration
	neededAt map[string]time.Duration
	// jobs maps IDs to jobs, until a job is answered and its last run has
	// ended.
	jobs  map[string]*activeJob
	queue []*activeJob
	kinds map[string]*kindStats
	waits map[waitKey]waitAverage
	// meanRuns holds the mean run time of each service's tasks.
	meanRuns map[string]meanRun
	// knownWorkers holds the capacity and labels of present and recent workers
	// by service.
	knownWorkers map[string][]knownWorker
	// recordedAt is when the present workers were last recorded there, and workersChanged
	// is set if one has reported another capacity or other labels since.
	recordedAt     time.Duration
	workersChanged bool
	// endedJobs maps the IDs of jobs that have ended to what is remembered of them.
	endedJobs map[string]endedJob
	// claiming holds, by ID, the submissions that ask other entries for their job.
	claiming map[string][]*claiming
	// history remembers the refused jobs.
	history *admission.History
	// entries is the number of entries that compete for the workers; 0 if it is
	// unknown.
	entries      int
	shuttingDown bool
	// stopped is closed once Shutdown no longer waits.
	stopped chan struct{}
	// durableJobs stores the progress of durable jobs; nil if none are
	// accepted.
	durableJobs *DurableManager
	sequence    uint64
	// lastTickAt is the time of the last tick, and tickWait the longest time until the
	// next one in which it is not late.
	lastTickAt, tickWait time.Duration
	// idle is set while there are no jobs; idleEnded shortens the time until the next tick.
	idle      bool
	idleEnded chan struct{}
	// lag is the mean by which ticks were late lately.
	lag time.Duration
	// noStartsBefore defers starts for a moment after a suspension of the
	// process.
	noStartsBefore time.Duration
}

// SetTiming changes Session and RunGrace. A shorter grace is not used, as agents may
// still have the longer one.
func (d *Dispatcher) SetTiming(session, runGrace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Session = session
	d.cfg.RunGrace = max(d.cfg.RunGrace, runGrace)
}

// New returns a dispatcher for the entry self. agents returns the members
// that are agents and is polled; client makes the calls to them. Nothing is
// started before Run is called.
func New(cfg Config, self *wire.Incarnation, agents func() []*wire.Member, client *http.Client, c clock.Clock, log *slog.Logger, scope tally.Scope) *Dispatcher {
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	if cfg.RemoteFactor == 0 {
		cfg.RemoteFactor = defaultRemoteFactor
	}
	if cfg.Session == 0 {
		cfg.Session = wire.SessionLength
	}
	if cfg.RunGrace == 0 {
		cfg.RunGrace = wire.RunGrace
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg:          cfg,
		self:         self,
		agents:       agents,
		client:       client,
		clock:        c,
		log:          log,
		metrics:      newMetrics(scope),
		ctx:          ctx,
		cancel:       cancel,
		stopped:      make(chan struct{}),
		idleEnded:    make(chan struct{}, 1),
		links:        map[string]*link{},
		evacuated:    map[string]bool{},
		demandAt:     map[string]time.Duration{},
		neededAt:     map[string]time.Duration{},
		jobs:         map[string]*activeJob{},
		kinds:        map[string]*kindStats{},
		waits:        map[waitKey]waitAverage{},
		meanRuns:     map[string]meanRun{},
		knownWorkers: map[string][]knownWorker{},
		endedJobs:    map[string]endedJob{},
		claiming:     map[string][]*claiming{},
		history:      admission.NewHistory(),
		lastTickAt:   c.Now(),
		tickWait:     tickInterval,
	}
}

// Run serves jobs until ctx ends, and returns once no call is in flight. It
// must be called once.
func (d *Dispatcher) Run(ctx context.Context) {
	defer d.calls.Wait()
	defer d.cancelCalls()
	d.loop(ctx)
}

// cancelCalls cancels all calls and prevents new ones.
func (d *Dispatcher) cancelCalls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel()
}

// Submit runs a job and returns its outcome. A job that is open under the same ID is
// joined. If ctx ends first, the caller has disconnected; the job's runs are stopped
// unless others wait for it.
func (d *Dispatcher) Submit(ctx context.Context, j Job) Outcome {
	for {
		a := d.admit(ctx, j)
		if a.job == nil {
			return a.refused
		}
		select {
		case <-a.job.done:
		case <-ctx.Done():
			return d.leave(a.job)
		}
		if !a.joined || a.job.outcome.State != Abandoned {
			return a.job.outcome
		}
	}
}

// leave records that a caller of a job has disconnected.
func (d *Dispatcher) leave(job *activeJob) Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	job.callers--
	if job.isLeft(now) {
		d.finish(job, d.stoppedOutcome(job, reasonCallerDisconnected))
		d.place(now)
	}
	if !job.answered {
		return Outcome{State: Abandoned, Reason: reasonCallerDisconnected}
	}
	return job.outcome
}

// Shutdown refuses new jobs and waits for open best-effort jobs. Those still
// open when ctx ends are stopped. A dispatcher is shut down once.
func (d *Dispatcher) Shutdown(ctx context.Context) {
	defer close(d.stopped)
	for _, job := range d.stopAccepting() {
		select {
		case <-job.done:
		case <-ctx.Done():
			d.abandonAll(reasonShuttingDown)
			return
		}
	}
}

// stopAccepting refuses new jobs and returns the open best-effort ones.
func (d *Dispatcher) stopAccepting() []*activeJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shuttingDown = true
	var open []*activeJob
	for _, job := range d.jobs {
		if !job.answered && job.durable == nil {
			open = append(open, job)
		}
	}
	d.logEvent(event.Stopping, slog.String("reason", "desk"), slog.Int("inFlight", len(open)))
	return open
}

// abandonAll stops the open best-effort jobs for the given reason. The capacity that
// becomes free is left to the next tick, as jobs that wait for it are stopped, too.
func (d *Dispatcher) abandonAll(reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, job := range d.jobs {
		if job.durable == nil {
			d.finish(job, d.stoppedOutcome(job, reason))
		}
	}
}
