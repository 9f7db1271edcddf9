package process

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"skylarklane.example/lib/event"
)

// Phases of a process, as logged with each signal.
const (
	phaseStarting = "starting"
	phaseRunning  = "running"
	phaseStopping = "stopping"
)

// maxPendingSignals is how many signals of one kind may wait to be logged. Further
// ones are dropped; they ask for nothing new.
const maxPendingSignals = 8

// Signals owns the signals of a daemon from the first statement of the program
// until the process has exited. None is ever given back, as its default action
// would end a process that is still serving or shutting down.
type Signals struct {
	terminate chan os.Signal
	hangUp    chan os.Signal
	reloads   chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	running   atomic.Bool
}

// CatchSignals catches SIGTERM, SIGINT and SIGHUP and ignores SIGPIPE, with which
// the runtime would end the process once nobody reads its output. A process calls
// it once.
func CatchSignals() *Signals {
	s := &Signals{
		terminate: make(chan os.Signal, maxPendingSignals),
		hangUp:    make(chan os.Signal, maxPendingSignals),
		reloads:   make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangUp, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Start logs and applies the signals received so far and all later ones.
func (s *Signals) Start(log *slog.Logger) { go s.run(log) }

// Context returns a context that ends with the first SIGTERM or SIGINT.
func (s *Signals) Context() context.Context { return s.ctx }

// Reloads returns a channel that receives a value after each SIGHUP. Several
// requests that nobody has received yet count as one.
func (s *Signals) Reloads() <-chan struct{} { return s.reloads }

// SetRunning marks the end of the process's start.
func (s *Signals) SetRunning() { s.running.Store(true) }

// LogReady returns a function that logs the addresses and marks the end of the
// process's start.
func (s *Signals) LogReady(log *slog.Logger) ReadyFunc {
	return func(address, announce string) {
		s.SetRunning()
		event.ProcessStarted.Log(context.Background(), log, slog.String("address", address), slog.String("announce", announce))
	}
}

func (s *Signals) run(log *slog.Logger) {
	for {
		select {
		case taken := <-s.terminate:
			s.log(taken, log)
			s.cancel()
		case taken := <-s.hangUp:
			s.log(taken, log)
			select {
			case s.reloads <- struct{}{}:
			default:
			}
		}
	}
}

func (s *Signals) log(taken os.Signal, log *slog.Logger) {
	event.SignalTaken.Log(context.Background(), log, slog.String("signal", taken.String()), slog.String("phase", s.phase()))
}

func (s *Signals) phase() string {
	switch {
	case s.ctx.Err() != nil:
		return phaseStopping
	case s.running.Load():
		return phaseRunning
	default:
		return phaseStarting
	}
}
