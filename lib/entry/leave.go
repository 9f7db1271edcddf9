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
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	e.follower.Leave(ctx)
	if err := e.gate.Wait(ctx); err != nil {
		e.log.Warn("Jobs are still in flight.", "error", err)
		return
	}
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
}

// refuseLeaving answers a submission that reached a leaving entry. The key may
// run elsewhere, so the ledger is asked before anything is said.
func (e *Entry) refuseLeaving(ctx context.Context, w http.ResponseWriter, key string) {
	reply, err := e.ledger.Look(ctx, key)
	switch {
	case err != nil || reply.GetError() != 0:
		problem(w, http.StatusServiceUnavailable, "failed", "unknownOutcome", "the entry is leaving and the ledger did not answer")
	case reply.GetRecord() != nil:
		writeRecord(w, key, reply.GetRecord())
	default:
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusServiceUnavailable, "notRun", "entryLeaving", "this entry is leaving; ask another")
	}
}
