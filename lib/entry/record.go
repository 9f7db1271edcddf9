package entry

import (
	"bytes"
	"context"
	"net/http"

	"skylarklane.example/lib/wire"
)

func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, s *submission) {
	key, spec := s.key, s.spec
	if r := e.admit(spec); r != nil {
		e.refuseUnheld(ctx, w, s, r)
		return
	}
	hold, err := e.ledger.Hold(ctx, key, s.digest, s.submittedAt, spec)
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

// refuseUnheld refuses a submission whose key the ledger does not know, and
// tells what is known of the key otherwise.
func (e *Entry) refuseUnheld(ctx context.Context, w http.ResponseWriter, s *submission, r *refusal) {
	reply, err := e.ledger.Look(ctx, s.key)
	switch {
	case err != nil || reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		problem(w, http.StatusServiceUnavailable, "", "ledgerUnreachable", "the ledger did not answer")
	case reply.GetRecord() == nil:
		refuse(w, r)
	case !bytes.Equal(reply.GetRecord().GetDigest(), s.digest):
		problem(w, http.StatusConflict, "", "keyConflict", "the key was used with other content")
	default:
		writeRecord(w, s.key, reply.GetRecord())
	}
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
