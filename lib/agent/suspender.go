package agent

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/slot"
)

// suspender withdraws the worker's slots while its data centre is evacuated, and
// offers them again afterwards.
type suspender struct {
	slots     *slot.Pool
	directory slot.Directory
	evacuated func() bool
	log       *slog.Logger
}

func (s *suspender) loop(ctx context.Context) {
	suspended := false
	for {
		changed := s.directory.Changed()
		if evacuated := s.evacuated(); evacuated != suspended {
			suspended = evacuated
			s.slots.Suspend(evacuated)
			event.SlotsSuspended.Log(ctx, s.log, slog.Bool("suspended", evacuated))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
