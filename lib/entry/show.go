package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// maxWait bounds waitMillis.
	maxWait = time.Minute
	// lookPatience bounds how long the ledger may take to answer a look.
	lookPatience = 5 * time.Second
	// cancelPatience is how long a cancellation waits for the outcome.
	cancelPatience = 5 * time.Second
)

// show tells what is known of a key.
func (e *Entry) show(w http.ResponseWriter, r *http.Request) {
	wait, err := waitOf(r)
	if err != nil {
		refuseField(w, "waitMillis", "a wait is a number of milliseconds")
		return
	}
	e.showAfter(r.Context(), w, r.PathValue("key"), wait)
}

// cancel stops a job, wherever it runs, and tells what is known of its key.
func (e *Entry) cancel(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if j := e.jobs.find(key); j != nil && j.spec != nil {
		e.metrics.Scope().Counter("cancellations").Inc(1)
		j.cancel()
	} else if record, ok := e.look(r.Context(), w, key); !ok {
		return
	} else if record.GetState() == wire.KeyState_KEY_STATE_HELD {
		e.cancelAt(r.Context(), record)
	}
	e.showAfter(r.Context(), w, key, cancelPatience)
}

// showAfter tells what is known of a key, after a wait for its outcome.
func (e *Entry) showAfter(ctx context.Context, w http.ResponseWriter, key string, wait time.Duration) {
	j := e.jobs.find(key)
	if j == nil {
		record, ok := e.look(ctx, w, key)
		if !ok {
			return
		}
		if record.GetState() != wire.KeyState_KEY_STATE_HELD {
			writeOutcome(w, key, record.GetOutcome())
			return
		}
		if wait > 0 || e.ledger.IsDead(record.GetHolder()) {
			j = e.lookAfter(key)
		}
	}
	if j == nil {
		running(w, key)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
		running(w, key)
		return
	case <-ctx.Done():
		return
	}
	if j.outcome == nil || j.outcome.GetReason() == reasonConflict {
		e.showAfter(ctx, w, key, 0)
		return
	}
	e.tell(w, j)
}

// look asks the ledger for a key. It answers the caller and returns false
// where there is no record.
func (e *Entry) look(ctx context.Context, w http.ResponseWriter, key string) (*wire.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookPatience)
	defer cancel()
	reply, err := e.ledger.Look(ctx, key)
	switch {
	case err != nil || reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusServiceUnavailable, "", "ledgerUnreachable", "the ledger did not answer")
		return nil, false
	case reply.GetRecord() == nil:
		problem(w, http.StatusNotFound, "", "unknownKey", "nothing is known of this key")
		return nil, false
	}
	return reply.GetRecord(), true
}

func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("waitMillis")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	return min(time.Duration(n)*time.Millisecond, maxWait), err
}

func refuseField(w http.ResponseWriter, field, detail string) {
	writeProblem(w, problemBody{Status: http.StatusBadRequest, Detail: detail, Reason: "badField", Field: field})
}

// running tells that the key has no outcome yet, and where to ask for it.
func running(w http.ResponseWriter, key string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Location", jobPath(key))
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(runningBody{Key: key, State: "running"})
}

// runningBody is the body of an answer without an outcome.
type runningBody struct {
	Key   string `json:"key"`
	State string `json:"state"`
}

func jobPath(key string) string { return "/v1/jobs/" + url.PathEscape(key) }
