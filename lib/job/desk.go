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
	// tickInterval is the time between two looks at deadlines and silent agents.
	tickInterval = 20 * time.Millisecond
	// gapLimit is the time without a tick from which the process counts as
	// having been stopped.
	gapLimit = 250 * time.Millisecond
	// gapPause is how long nothing is started after that, so that callers that
	// left meanwhile are noticed first.
	gapPause = 100 * time.Millisecond
	// gapTooLong is the time from which the jobs at hand are given up: sessions
	// are over, and callers may have sent their jobs again elsewhere.
	gapTooLong = 700 * time.Millisecond
	// defaultMaxQueued bounds the queue.
	defaultMaxQueued = 256
	// defaultRemote is how much longer a task takes away from its rack.
	defaultRemote = 1.5
)

// Config is what an operator sets for a desk. The zero value is usable.
type Config struct {
	// DataCentre of the entry, whose workers come first at equal speed.
	DataCentre string
	// MaxQueued bounds the jobs that wait for room.
	MaxQueued int
	// Remote is how many times as long a task takes away from the rack that
	// its step prefers.
	Remote float64
	// Session is how long a session at an agent lasts after the call that
	// renewed it. Agents must have the same.
	Session time.Duration
	// RunGrace is how long after the end of a session its runs may last, if
	// their agent is lost too.
	RunGrace time.Duration
	// Yield is how much later a launch of the next priority, or of a late job,
	// is sent to an agent that entries compete for, so that more urgent ones of
	// other entries come first.
	Yield time.Duration
}

// Desk runs the jobs of one entry. A mutex guards its state; calls to agents
// are made outside of it.
type Desk struct {
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
	// links by member id.
	links map[string]*link
	// jobs by id, until the last of their runs is settled.
	jobs   map[string]*work
	queue  []*work
	kinds  map[string]*kind
	delays map[delayKey]delay
	// seen lists what the workers of each service are or were like.
	seen     map[string][]seenWorker
	attempts map[string]attemptMark
	leaving  bool
	sequence uint64
	// tickedAt is when deadlines were looked at last.
	tickedAt time.Duration
	// notBefore bars starts for a moment after the process was stopped.
	notBefore time.Duration
}

// New returns a desk for the entry self. agents lists the members that are
// agents, and is asked again and again; client makes the calls to them. Nothing
// is started before Run is called.
func New(cfg Config, self *wire.Incarnation, agents func() []*wire.Member, client *http.Client, c clock.Clock, log *slog.Logger, scope tally.Scope) *Desk {
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
	return &Desk{
		cfg:      cfg,
		self:     self,
		agents:   agents,
		client:   client,
		clock:    c,
		log:      log,
		metrics:  newMetrics(scope),
		ctx:      ctx,
		cancel:   cancel,
		links:    map[string]*link{},
		jobs:     map[string]*work{},
		kinds:    map[string]*kind{},
		delays:   map[delayKey]delay{},
		seen:     map[string][]seenWorker{},
		attempts: map[string]attemptMark{},
		tickedAt: c.Now(),
	}
}

// Run follows the agents until ctx ends, and returns once no call is left. It
// is called once.
func (d *Desk) Run(ctx context.Context) {
	defer d.calls.Wait()
	defer d.end()
	d.loop(ctx)
}

// end ends all calls and bars new ones.
func (d *Desk) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel()
}

// Submit runs a job and returns how it ended. If ctx ends first, the caller
// has left and what runs is stopped.
func (d *Desk) Submit(ctx context.Context, j Job) Outcome {
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

// Shutdown refuses new jobs and waits for those in flight. Those that are left
// when ctx ends are stopped.
func (d *Desk) Shutdown(ctx context.Context) {
	for _, w := range d.close() {
		select {
		case <-w.done:
		case <-ctx.Done():
			d.abandon(w, reasonLeaving)
		}
	}
}

// close bars new jobs and returns those that are open.
func (d *Desk) close() []*work {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	var open []*work
	for _, w := range d.jobs {
		if !w.answered {
			open = append(open, w)
		}
	}
	d.note(event.Stopping, slog.String("reason", "desk"), slog.Int("inFlight", len(open)))
	return open
}

// abandon ends a job that nobody waits for any more.
func (d *Desk) abandon(w *work, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finish(w, d.stopped(w, reason))
	d.place(d.clock.Now())
}
