package control

import (
	"context"
	"errors"
	"time"

	"skylarklane.example/lib/process"
)

// Serve takes part in the group until ctx ends, and then shuts the server down.
// The host stays in the group until the requests in flight are answered, at most
// for the timeout that applies then.
func (c *Control) Serve(ctx context.Context, server *process.Server, timeout func() time.Duration) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- c.Run(running) }()
	select {
	case err := <-ended:
		server.Close()
		return err
	case <-ctx.Done():
	}
	bounded, cancel := context.WithTimeout(running, timeout())
	defer cancel()
	err := server.Shutdown(bounded)
	stop()
	return errors.Join(<-ended, err)
}
