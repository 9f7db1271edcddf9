package lease

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

// Keeper manages one leased worker on behalf of its agent. It is the only
// caller that starts and stops runs there, and does so under the sessions of
// entries. mu is not held during calls to the worker.
type Keeper struct {
	cfg            Config
	dial           func(Announcement) Worker
	log            *slog.Logger
	metrics        metrics
	began          time.Time
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
	shuttingDown bool
	// rejected is the last announcement that was ignored because it does not
	// belong to a later incarnation than the current one.
	rejected *Announcement
	ticks    uint64
	// lastEnd is the number of the last reported end, over all sessions.
	lastEnd uint64
	// epochs holds, by job id, the newest known epochs of the jobs that entries
	// have taken over.
	epochs         map[string]jobEpoch
	publishedState publishedState
}

// New returns a keeper without a worker. dial creates the client of an
// announced worker. Run must be called to serve the lease.
func New(cfg Config, dial func(Announcement) Worker, log *slog.Logger, scope tally.Scope) *Keeper {
	k := &Keeper{
		cfg:            cfg.withDefaults(),
		dial:           dial,
		log:            log,
		metrics:        newMetrics(scope),
		began:          time.Now(),
		startSemaphore: make(chan struct{}, maxConcurrentStarts),
		stopSemaphore:  make(chan struct{}, maxConcurrentStops),
		fence:          newFence(time.Now()),
		sessions:       map[sessionKey]*session{},
		epochs:         map[string]jobEpoch{},
		publishedState: newPublishedState(),
	}
	k.refreshState()
	return k
}

// Handler serves entries under wire.RunnerPathPrefix. opts are options of
// twirp.
func (k *Keeper) Handler(opts ...any) http.Handler {
	return wire.NewRunnerServer(k, opts...)
}

// Run extends the worker's lease and ends sessions until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.ctx = ctx
	if k.incarnation != nil {
		k.startLoops(k.incarnation)
	}
	k.mu.Unlock()
	k.loop(ctx)
	k.mu.Lock()
	k.ctx = nil
	k.mu.Unlock()
	k.goroutines.Wait()
}

func (k *Keeper) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.tick()
		}
	}
}

func (k *Keeper) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	k.logSilence()
	k.expireLeases()
	if k.ticks++; k.ticks%evictionTicks == 0 {
		k.evict()
	}
	k.refreshState()
}

// Shutdown refuses new runs, reports that to entries, and returns once all
// runs have ended. Run must not end before Shutdown has returned.
func (k *Keeper) Shutdown(ctx context.Context) error {
	k.mu.Lock()
	k.shuttingDown = true
	k.refreshState()
	k.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		left := k.runCount()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "shutdown", Kind: KindShutdown, Err: eris.Wrapf(ctx.Err(), "%d runs have not ended", left)}
		case <-tick.C:
		}
	}
}

func (k *Keeper) runCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runCountLocked()
}

func (k *Keeper) runCountLocked() int {
	n := 0
	for _, inc := range k.incarnations() {
		n += len(inc.active) + len(inc.waiting)
	}
	return n
}

func (k *Keeper) incarnations() []*incarnation {
	if k.incarnation == nil {
		return k.retired
	}
	return append([]*incarnation{k.incarnation}, k.retired...)
}

// monotonic reads a clock that does not count suspended time, like the
// worker's.
func (k *Keeper) monotonic() time.Duration { return time.Since(k.began) }

// nowMillis reads the agent's clock, in milliseconds.
func (k *Keeper) nowMillis() int64 { return k.cfg.Clock.Now().Milliseconds() }
