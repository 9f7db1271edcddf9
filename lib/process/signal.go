package process

import (
	"context"
	"os/signal"
	"syscall"
)

// SignalContext returns a context that is cancelled on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
