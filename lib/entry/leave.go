package entry

import (
	"context"
	"net/http"
	"time"
)

// lingerTime is the least time for which a leaving entry keeps serving, so that
// the load balancer notices that it is not ready and callers close their idle
// connections.
const lingerTime = 2 * time.Second

// Leave drains the entry: it refuses new submissions and finishes the jobs in
// flight. It returns once that is done or ctx ends.
func (e *Entry) Leave(ctx context.Context) {
	e.log.Info("Leaving.", "jobs", e.gate.InFlight())
	e.gate.Close()
	e.dispatcher.stopAcceptingTokens()
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	e.follower.Leave(ctx)
	if err := e.gate.Wait(ctx); err != nil {
		e.log.Warn("Stopped draining with jobs still in flight.", "error", err)
		return
	}
	if err := e.jobs.wait(ctx); err != nil {
		e.log.Warn("Stopped draining with jobs still in flight.", "error", err)
		return
	}
	e.dispatcher.returnIdleTokens(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
}

// leavingRefusal returns the refusal of submissions that reach a leaving entry.
func leavingRefusal() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "entryLeaving", retryAfter: briefRetryAfter(),
		detail: "this entry is shutting down; send the request to another one",
	}
}
