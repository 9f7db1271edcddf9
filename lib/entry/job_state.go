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
	// maxWait bounds the waitMillis parameter.
	maxWait = time.Minute
	// readTimeout bounds a read from the ledger.
	readTimeout = 5 * time.Second
	// cancelWait is how long a cancellation waits for the outcome.
	cancelWait = 5 * time.Second
)

// show responds with the state of a key.
func (e *Entry) show(w http.ResponseWriter, r *http.Request) {
	wait, err := parseWait(r)
	if err != nil {
		writeBadField(w, "waitMillis", "waitMillis must be a number of milliseconds")
		return
	}
	e.showAfterWait(r.Context(), w, r.PathValue("key"), wait)
}

// cancel cancels the job of a key, whichever entry runs it, and responds with
// the state of the key.
func (e *Entry) cancel(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	if j := e.jobs.find(key); j != nil && j.spec != nil {
		e.metrics.Scope().Counter("cancellations").Inc(1)
		j.cancel()
	} else if record, ok := e.readRecord(r.Context(), w, key); !ok {
		return
	} else if record.GetState() == wire.KeyState_KEY_STATE_HELD {
		e.cancelAtHolder(r.Context(), record)
	}
	e.showAfterWait(r.Context(), w, key, cancelWait)
}

// showAfterWait waits up to the given time for the outcome of a key and responds
// with the outcome or the state.
func (e *Entry) showAfterWait(ctx context.Context, w http.ResponseWriter, key string, wait time.Duration) {
	j := e.jobs.find(key)
	if j == nil {
		record, ok := e.readRecord(ctx, w, key)
		if !ok {
			return
		}
		if record.GetState() != wire.KeyState_KEY_STATE_HELD {
			writeOutcome(w, key, record.GetOutcome())
			return
		}
		if wait > 0 || e.ledger.IsDead(record.GetHolder()) {
			j = e.adoptKey(key)
		}
	}
	if j == nil {
		writeRunning(w, key)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-j.done:
	case <-timer.C:
		writeRunning(w, key)
		return
	case <-ctx.Done():
		return
	}
	if j.outcome == nil || j.outcome.GetReason() == reasonConflict {
		e.showAfterWait(ctx, w, key, 0)
		return
	}
	e.writeJobOutcome(w, j)
}

// readRecord reads the record of a key from the ledger. If there is none, it
// responds to the caller and returns false.
func (e *Entry) readRecord(ctx context.Context, w http.ResponseWriter, key string) (*wire.Record, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := e.ledger.Look(ctx, key)
	switch {
	case err != nil || reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		setRetryAfter(w, briefRetryAfter())
		writeProblem(w, http.StatusServiceUnavailable, "", "ledgerUnreachable", "the ledger did not answer")
		return nil, false
	case reply.GetRecord() == nil:
		writeProblem(w, http.StatusNotFound, "", "unknownKey", "no job is known for this key")
		return nil, false
	}
	return reply.GetRecord(), true
}

func parseWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("waitMillis")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	return min(time.Duration(n)*time.Millisecond, maxWait), err
}

func writeBadField(w http.ResponseWriter, field, detail string) {
	writeProblemBody(w, problemBody{Status: http.StatusBadRequest, Detail: detail, Reason: "badField", Field: field})
}

// writeRunning responds that the job has no outcome yet, with the location to
// query for it.
func writeRunning(w http.ResponseWriter, key string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Location", jobPath(key))
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(runningBody{Key: key, State: "running"})
}

// runningBody is the response body for a job without an outcome.
type runningBody struct {
	Key   string `json:"key"`
	State string `json:"state"`
}

func jobPath(key string) string { return "/v1/jobs/" + url.PathEscape(key) }
