package entry

import (
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"

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
	if !e.gate.Enter() {
		e.refuseLeaving(r.Context(), w, key)
		return
	}
	defer e.gate.Leave()
	e.answer(r.Context(), w, key, digest[:], spec)
}
