package job

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// tickInterval is how often deadlines and unresponsive agents are
	// checked.
	tickInterval = 20 * time.Millisecond
	// gapLimit is the time without a tick from which the process counts as
	// having been suspended.
	gapLimit = 250 * time.Millisecond
	// gapPause is how long nothing is started after a suspension, so that
	// callers that disconnected meanwhile are noticed first.
	gapPause = 100 * time.Millisecond
	// gapTooLong is the length of a suspension from which open jobs are given
	// up: sessions have ended, and callers may have resubmitted their jobs
	// elsewhere.
	gapTooLong       = 700 * time.Millisecond
	defaultMaxQueued = 256
	defaultRemote    = 1.5
)

// Config configures a Dispatcher. The zero value is usable.
type Config struct {
	// DataCentre is that of the entry. Its workers are preferred among
	// equally fast ones.
	DataCentre string
	// MaxQueued bounds the queued jobs.
	MaxQueued int
	// Remote is the factor by which a task takes longer away from the
	// rack that its step prefers.
	Remote float64
	// Session is how long a session at an agent lasts after the call that
	// renewed it. It must match the agents' setting.
	Session time.Duration
	// RunGrace is how long runs may outlast the end of their session if their
	// agent has failed too.
	RunGrace time.Duration
	// YieldDelay is the delay, per priority level and for late jobs, of
	// launches to an agent for which entries compete, so that more urgent
	// jobs of other entries come first.
	YieldDelay time.Duration
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
	// links maps member ids to agents.
	links map[string]*link
	// jobs maps ids to jobs, until the last run of a job has ended.
	jobs   map[string]*workItem
	queue  []*workItem
	kinds  map[string]*kindStats
	delays map[delayKey]delay
	// knownWorkers lists present and recent workers by service.
	knownWorkers map[string][]knownWorker
	attempts     map[string]lastAttempt
	shuttingDown bool
	// durableJobs stores the progress of durable jobs; nil if none are
	// accepted.
	durableJobs *DurableManager
	sequence    uint64
	// tickedAt is the time of the last tick.
	tickedAt time.Duration
	// notBefore defers starts for a moment after a suspension of the process.
	notBefore time.Duration
}

// New returns a dispatcher for the entry self. agents returns the members
// that are agents and is polled; client makes the calls to them. Nothing is
// started before Run is called.
func New(cfg Config, self *wire.Incarnation, agents func() []*wire.Member, client *http.Client, c clock.Clock, log *slog.Logger, scope tally.Scope) *Dispatcher {
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	if cfg.Remote == 0 {
		cfg.Remote = defaultRemote
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
		links:        map[string]*link{},
		jobs:         map[string]*workItem{},
		kinds:        map[string]*kindStats{},
		delays:       map[delayKey]delay{},
		knownWorkers: map[string][]knownWorker{},
		attempts:     map[string]lastAttempt{},
		tickedAt:     c.Now(),
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

// Submit runs a job and returns its outcome. If ctx ends first, the caller
// has disconnected and the job's runs are stopped.
func (d *Dispatcher) Submit(ctx context.Context, j Job) Outcome {
	w, refused := d.admit(ctx, j)
	if w == nil {
		return refused
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		d.abandon(w, reasonCallerLeft)
	}
	return w.outcome
}

// Shutdown refuses new jobs and waits for open ones. Those still open when
// ctx ends are stopped.
func (d *Dispatcher) Shutdown(ctx context.Context) {
	for _, w := range d.stopAccepting() {
		select {
		case <-w.done:
		case <-ctx.Done():
			d.abandon(w, reasonLeaving)
		}
	}
}

// stopAccepting refuses new jobs and returns the open ones.
func (d *Dispatcher) stopAccepting() []*workItem {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shuttingDown = true
	var open []*workItem
	for _, w := range d.jobs {
		if !w.answered && w.durable == nil {
			open = append(open, w)
		}
	}
	d.logEvent(event.Stopping, slog.String("reason", "desk"), slog.Int("inFlight", len(open)))
	return open
}

// abandon ends a job whose result nobody waits for.
func (d *Dispatcher) abandon(w *workItem, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finish(w, d.stoppedOutcome(w, reason))
	d.place(d.clock.Now())
}
