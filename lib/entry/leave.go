package entry

import (
	"context"
	"net/http"
	"time"
)

// lingerTime is how long a leaving entry still answers, so that the balancer
// sees that it is not ready and callers close their idle connections.
const lingerTime = 2 * time.Second

// Leave withdraws the entry: new submissions are refused, and jobs in flight
// are finished and answered. It returns once that is done or ctx ends.
func (e *Entry) Leave(ctx context.Context) {
	e.log.Info("Leaving.", "jobs", e.gate.Inside())
	e.gate.Close()
	e.dispatcher.withdraw()
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	e.follower.Leave(ctx)
	if err := e.gate.Wait(ctx); err != nil {
		e.log.Warn("Jobs are still in flight.", "error", err)
		return
	}
	if err := e.jobs.wait(ctx); err != nil {
		e.log.Warn("Jobs are still in flight.", "error", err)
		return
	}
	e.dispatcher.giveBack(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
}

// leavingRefusal is the refusal of submissions that reach a leaving entry.
func leavingRefusal() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "entryLeaving", retryAfter: shortRetry,
		detail: "this entry is leaving; ask another",
	}
}
