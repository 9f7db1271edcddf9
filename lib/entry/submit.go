package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"skylarklane.example/lib/wire"
)

// submission is the body of a submission.
type submission struct {
	Kind           string `json:"kind"`
	DeadlineMillis int64  `json:"deadlineMillis"`
	Tasks          []struct {
		Payload json.RawMessage `json:"payload"`
	} `json:"tasks"`
}

func (e *Entry) submit(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" || len(key) > 128 {
		problem(w, http.StatusBadRequest, "notRun", "badKey", "the header Idempotency-Key must have 1 to 128 characters")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.limits.GetMaxBodyBytes()))
	if err != nil {
		problem(w, http.StatusRequestEntityTooLarge, "notRun", "bodyTooLarge", "the body is too large")
		return
	}
	var s submission
	if err := json.Unmarshal(body, &s); err != nil {
		problem(w, http.StatusBadRequest, "notRun", "badBody", err.Error())
		return
	}
	spec := &wire.JobSpec{Service: r.PathValue("service"), Kind: s.Kind, Team: r.Header.Get("Team"), DeadlineMillis: s.DeadlineMillis}
	for _, task := range s.Tasks {
		spec.Payloads = append(spec.Payloads, task.Payload)
	}
	digest := sha256.Sum256(append([]byte(spec.GetService()+"\n"+spec.GetTeam()+"\n"), body...))
	e.answer(r.Context(), w, key, digest[:], spec)
}

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
	outcome := e.runJob(context.WithoutCancel(ctx), key, spec)
	if _, err := e.ledger.Finish(context.WithoutCancel(ctx), key, outcome); err != nil {
		problem(w, http.StatusServiceUnavailable, "failed", "unknownOutcome", err.Error())
		return
	}
	writeOutcome(w, key, outcome)
}

// runJob starts every task and gathers the results.
func (e *Entry) runJob(ctx context.Context, key string, spec *wire.JobSpec) *wire.Outcome {
	results := make([][]byte, len(spec.GetPayloads()))
	reasons := make([]string, len(spec.GetPayloads()))
	var tasks sync.WaitGroup
	for n, payload := range spec.GetPayloads() {
		tasks.Go(func() {
			results[n], reasons[n] = e.runTask(ctx, key, n, payload, spec)
		})
	}
	tasks.Wait()
	for _, reason := range reasons {
		if reason != "" {
			return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reason}
		}
	}
	return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_COMPLETE, Results: results}
}

func (e *Entry) runTask(ctx context.Context, key string, n int, payload []byte, spec *wire.JobSpec) ([]byte, string) {
	token := <-e.tokens.idle
	address := e.addressOf(token.GetAgent())
	reply, err := wire.NewAgentProtobufClient("http://"+address, e.client).Start(ctx, &wire.StartRequest{
		Job: key, Task: uint32(n), Coordinator: e.follower.Member().GetIncarnation(), Agent: token.GetAgent(),
		Token: token.GetNumber(), Service: spec.GetService(), Kind: spec.GetKind(), Payload: payload,
	})
	if err != nil {
		return nil, "agentLost"
	}
	if reply.GetToken() != nil {
		e.tokens.idle <- reply.GetToken()
	}
	return reply.GetResult(), reply.GetReason()
}

func (e *Entry) addressOf(who *wire.Incarnation) string {
	for _, member := range e.follower.Directory().GetMembers() {
		if member.GetIncarnation().GetNumber() == who.GetNumber() {
			return member.GetAddress()
		}
	}
	return ""
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
