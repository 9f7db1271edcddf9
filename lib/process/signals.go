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

// Signals receives the signals that end a daemon, and logs them.
type Signals struct {
	terminate chan os.Signal
	ctx       context.Context
	cancel    context.CancelFunc
	running   atomic.Bool
}

// CatchSignals catches SIGTERM and SIGINT until Release is called.
func CatchSignals() *Signals {
	s := &Signals{terminate: make(chan os.Signal, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	return s
}

// Release gives the signals back.
func (s *Signals) Release() {
	signal.Stop(s.terminate)
	s.cancel()
}

// Start logs and applies the signals received so far and all later ones.
func (s *Signals) Start(log *slog.Logger) { go s.run(log) }

// Context returns a context that ends with the first signal to end the process.
func (s *Signals) Context() context.Context { return s.ctx }

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

// LogSignal logs that the process takes a signal.
func (s *Signals) LogSignal(taken os.Signal, log *slog.Logger) {
	event.SignalTaken.Log(context.Background(), log, slog.String("signal", taken.String()), slog.String("phase", s.phase()))
}

func (s *Signals) run(log *slog.Logger) {
	for taken := range s.terminate {
		s.LogSignal(taken, log)
		s.cancel()
	}
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
