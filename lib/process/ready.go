package process

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
)

// ReadyFunc is called once a part accepts connections. Address is its address
// for other processes; announce is the address on which an agent receives the
// announcements of backend servers, empty for the other parts.
type ReadyFunc func(address, announce string)

// LogReady returns a function that logs the addresses.
func LogReady(log *slog.Logger) ReadyFunc {
	return func(address, announce string) {
		event.ProcessStarted.Log(context.Background(), log, slog.String("address", address), slog.String("announce", announce))
	}
}
