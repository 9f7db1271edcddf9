package lease

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// Manager manages one leased worker on behalf of its agent. It is the only
// caller that starts and stops runs there, and does so under the sessions of
// entries. mu is not held during calls to the worker.
type Manager struct {
	cfg            Config
	dial           func(Announcement) Worker
	log            *slog.Logger
	metrics        metrics
	awake          *clock.Awake
	startSemaphore chan struct{}
	stopSemaphore  chan struct{}
	goroutines     sync.WaitGroup

	mu           sync.Mutex
	ctx          context.Context
	fence        fence
	incarnation  *incarnation
	retired      []*incarnation
	retiredNames []string
	sessions     map[sessionKey]*session
	// nextExpiry is when the first open session ends, unless it has been renewed since.
	nextExpiry   time.Duration
	shuttingDown bool
	// rejected is the last announcement that was ignored because it does not
	// belong to a later incarnation than the current one.
	rejected  *Announcement
	evictedAt time.Duration
	// watches counts the Watch calls that wait for a change.
	watches int
	// idle is set while nothing depends on the next tick; idleEnded ends the wait for it.
	idle      bool
	idleEnded chan struct{}
	// lastEnd is the number of the last reported end, over all sessions.
	lastEnd uint64
	// lastQueueID is the id of the run that was queued last.
	lastQueueID uint64
	// epochs holds, by job id, the newest known epochs of the jobs that entries
	// have taken over.
	epochs         map[string]jobEpoch
	publishedState publishedState
	// lease is how far ahead a worker's lease is extended unless that is longer
	// than the worker grants.
	lease time.Duration
	// raised holds the times that apply from raiseAt on; 0 means that they do.
	raised  Timing
	raiseAt time.Duration
}

// New returns a manager without a worker. dial creates the client of an
// announced worker. Run must be called to serve the lease.
func New(cfg Config, dial func(Announcement) Worker, log *slog.Logger, scope tally.Scope) *Manager {
	m := &Manager{
		cfg:            cfg.withDefaults(),
		lease:          orDefault(cfg.Lease, DefaultLease),
		dial:           dial,
		log:            log,
		metrics:        newMetrics(scope),
		awake:          clock.NewAwake(maxTickGap),
		startSemaphore: make(chan struct{}, maxConcurrentStarts),
		stopSemaphore:  make(chan struct{}, maxConcurrentStops),
		fence:          newFence(time.Now()),
		sessions:       map[sessionKey]*session{},
		idleEnded:      make(chan struct{}, 1),
		epochs:         map[string]jobEpoch{},
		publishedState: newPublishedState(),
	}
	m.refreshState()
	return m
}

// Handler serves entries under wire.RunnerPathPrefix. opts are options of
// twirp.
func (m *Manager) Handler(opts ...any) http.Handler {
	return wire.NewRunnerServer(m, opts...)
}

// Run extends the worker's lease and ends sessions until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	if m.incarnation != nil {
		m.startLoops(m.incarnation)
	}
	m.mu.Unlock()
	m.loop(ctx)
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.goroutines.Wait()
}

func (m *Manager) loop(ctx context.Context) {
	timer := time.NewTimer(clock.UntilNext(tickInterval))
	defer timer.Stop()
	evacuationChanged := m.evacuationChanged()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.idleEnded:
			timer.Reset(clock.UntilNext(tickInterval))
		case <-evacuationChanged:
			evacuationChanged = m.evacuationChanged()
			m.tick()
		case <-timer.C:
			timer.Reset(clock.UntilNext(m.tick()))
		}
	}
}

// evacuationChanged returns the channel of Config.EvacuationChanged, nil if there is none.
func (m *Manager) evacuationChanged() <-chan struct{} {
	if m.cfg.EvacuationChanged == nil {
		return nil
	}
	return m.cfg.EvacuationChanged()
}

// tick processes what has changed with time, and returns the time until the next tick.
func (m *Manager) tick() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	m.logSilence()
	m.expireLeases()
	if now := m.cfg.Clock.Now(); now-m.evictedAt >= evictionInterval {
		m.evictedAt = now
		m.evict()
	}
	m.refreshState()
	m.idle = !m.isBusy()
	if m.idle {
		return idleTickInterval
	}
	return tickInterval
}

// isBusy reports whether runs or entries depend on the next tick.
func (m *Manager) isBusy() bool {
	now := m.cfg.Clock.Now()
	return m.watches > 0 && m.cfg.EvacuationChanged == nil || m.shuttingDown || len(m.retired) > 0 || m.queuedCountLocked() > 0 ||
		m.runCountLocked() > 0 && (m.nextExpiry < now+idleTickInterval || m.isLate(m.incarnation))
}

// isLate reports whether the worker's answer is overdue.
func (m *Manager) isLate(inc *incarnation) bool {
	return inc != nil && m.monotonic() > inc.repliedAt+m.cfg.SilenceTimeout-idleTickInterval
}

// endIdle shortens the time until the next tick if something depends on it from now on.
func (m *Manager) endIdle() {
	if !m.idle || !m.isBusy() {
		return
	}
	m.idle = false
	select {
	case m.idleEnded <- struct{}{}:
	default:
	}
}

// Shutdown refuses new runs, reports that to entries, and returns once all runs
// have ended and the entries with a session have acknowledged the ends. Run must
// not end before Shutdown has returned.
func (m *Manager) Shutdown(ctx context.Context) error {
	m.mu.Lock()
	m.shuttingDown = true
	m.refreshState()
	m.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		runs, ends := m.unfinished()
		if runs+ends == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "shutdown", Kind: KindShutdown, Err: eris.Wrapf(ctx.Err(), "%d runs have not ended, %d ends are not acknowledged", runs, ends)}
		case <-tick.C:
		}
	}
}

// unfinished returns the number of runs that have not ended, and of ends that an
// entry with a session has not acknowledged.
func (m *Manager) unfinished() (runs, ends int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		if s.alive {
			ends += len(s.ends)
		}
	}
	return m.runCountLocked() + m.queuedCountLocked(), ends
}

// runCountLocked returns the number of runs for which capacity is reserved.
func (m *Manager) runCountLocked() int {
	n := 0
	for _, inc := range m.incarnations() {
		n += len(inc.active) + len(inc.waiting)
	}
	return n
}

// queuedCountLocked returns the number of runs that wait for capacity.
func (m *Manager) queuedCountLocked() int {
	n := 0
	for _, inc := range m.incarnations() {
		n += len(inc.queued)
	}
	return n
}

func (m *Manager) incarnations() []*incarnation {
	if m.incarnation == nil {
		return m.retired
	}
	return append([]*incarnation{m.incarnation}, m.retired...)
}

// monotonic reads a clock that does not count the time during which the machine
// was suspended, like the worker's, or this process was stopped. What stopped the
// process may have stopped the worker's clock too.
func (m *Manager) monotonic() time.Duration { return m.awake.Now() }

// nowMillis reads the agent's clock, in milliseconds.
func (m *Manager) nowMillis() int64 { return m.cfg.Clock.Now().Milliseconds() }
