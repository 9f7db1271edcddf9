package entry

import (
	"context"
	"net/http"

	"skylarklane.example/lib/wire"
)

func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, key string, digest []byte, spec *wire.JobSpec) {
	hold, err := e.ledger.Hold(ctx, key, digest, 0, spec)
	switch {
	case err != nil:
		problem(w, http.StatusServiceUnavailable, "failed", "unknownOutcome", err.Error())
		return
	case hold.GetError() == wire.LedgerError_LEDGER_ERROR_CONFLICT:
		problem(w, http.StatusConflict, "", "keyConflict", "the key was used with other content")
		return
	case hold.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		problem(w, http.StatusServiceUnavailable, "failed", "unknownOutcome", hold.GetError().String())
		return
	case !hold.GetGranted():
		writeRecord(w, key, hold.GetRecord())
		return
	}
	outcome := e.dispatcher.Run(context.WithoutCancel(ctx), Job{Key: key, Spec: spec})
	if _, err := e.ledger.Finish(context.WithoutCancel(ctx), key, outcome); err != nil {
		problem(w, http.StatusServiceUnavailable, "failed", "unknownOutcome", err.Error())
		return
	}
	writeOutcome(w, key, outcome)
}

func (e *Entry) show(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	reply, err := e.ledger.Look(r.Context(), key)
	if err != nil || reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE {
		problem(w, http.StatusServiceUnavailable, "", "ledgerUnreachable", "the ledger did not answer")
		return
	}
	if reply.GetRecord() == nil {
		problem(w, http.StatusNotFound, "", "unknownKey", "nothing is known of this key")
		return
	}
	writeRecord(w, key, reply.GetRecord())
}
