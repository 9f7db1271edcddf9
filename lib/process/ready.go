package process

import "log/slog"

// ReadyFunc is called once a part listens. Address is where other processes
// reach it; announce is where backend servers announce themselves to an agent,
// and empty for the other parts.
type ReadyFunc func(address, announce string)

// LogReady returns a function that logs the addresses.
func LogReady(log *slog.Logger) ReadyFunc {
	return func(address, announce string) {
		log.Info("Ready.", "address", address, "announce", announce)
	}
}
