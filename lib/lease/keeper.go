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

// Keeper is the agent's side of one leased worker: it alone starts and stops
// runs there, under the sessions of entries. Its state is guarded by mu; calls
// to the worker are made outside of it.
type Keeper struct {
	cfg     Config
	dial    func(Announcement) Worker
	log     *slog.Logger
	metrics metrics
	began   time.Time
	starts  chan struct{}
	stops   chan struct{}
	tasks   sync.WaitGroup

	mu       sync.Mutex
	ctx      context.Context
	fence    fence
	life     *life
	retired  []*life
	dead     []string
	sessions map[sessionKey]*session
	leaving  bool
	// doubted is the newest announcement that was ignored for its start.
	doubted *Announcement
	ticks   uint64
	// lastEnd numbers the ends that are told, of all sessions.
	lastEnd uint64
	// epochs of jobs that entries have taken over.
	epochs map[string]jobEpoch
	board  board
}

// New returns a keeper without a worker. dial makes the client of an announced
// worker; Run keeps it going.
func New(cfg Config, dial func(Announcement) Worker, log *slog.Logger, scope tally.Scope) *Keeper {
	k := &Keeper{
		cfg:      cfg.withDefaults(),
		dial:     dial,
		log:      log,
		metrics:  newMetrics(scope),
		began:    time.Now(),
		starts:   make(chan struct{}, startsAtOnce),
		stops:    make(chan struct{}, stopsAtOnce),
		fence:    newFence(time.Now()),
		sessions: map[sessionKey]*session{},
		epochs:   map[string]jobEpoch{},
		board:    newBoard(),
	}
	k.changed()
	return k
}

// Handler serves entries under wire.RunnerPathPrefix. The options are twirp's.
func (k *Keeper) Handler(opts ...any) http.Handler {
	return wire.NewRunnerServer(k, opts...)
}

// Run keeps the lease of the worker, and ends sessions, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.ctx = ctx
	if k.life != nil {
		k.keep(k.life)
	}
	k.mu.Unlock()
	k.loop(ctx)
	k.mu.Lock()
	k.ctx = nil
	k.mu.Unlock()
	k.tasks.Wait()
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
	k.expire()
	k.hush()
	k.lapse()
	if k.ticks++; k.ticks%forgetTicks == 0 {
		k.forget()
	}
	k.changed()
}

// Shutdown takes no new runs, tells entries so, and returns once all runs have
// ended. Run has to go on meanwhile.
func (k *Keeper) Shutdown(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.changed()
	k.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		left := k.count()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "shutdown", Kind: KindShutdown, Err: eris.Wrapf(ctx.Err(), "%d runs left", left)}
		case <-tick.C:
		}
	}
}

func (k *Keeper) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.left()
}

func (k *Keeper) left() int {
	n := 0
	for _, l := range k.lives() {
		n += len(l.active) + len(l.waiting)
	}
	return n
}

func (k *Keeper) lives() []*life {
	if k.life == nil {
		return k.retired
	}
	return append([]*life{k.life}, k.retired...)
}

// steady is a reading of the clock that leaves out suspended time, as the
// worker's does.
func (k *Keeper) steady() time.Duration { return time.Since(k.began) }

// now is a reading of the agent's clock in milliseconds.
func (k *Keeper) nowMillis() int64 { return k.cfg.Clock.Now().Milliseconds() }
