package process

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
)

// ReadyFunc is called once a part listens. Address is where other processes
// reach it; announce is where backend servers announce themselves to an agent,
// and empty for the other parts.
type ReadyFunc func(address, announce string)

// LogReady returns a function that logs the addresses.
func LogReady(log *slog.Logger) ReadyFunc {
	return func(address, announce string) {
		event.ProcessStarted.Log(context.Background(), log, slog.String("address", address), slog.String("announce", announce))
	}
}
