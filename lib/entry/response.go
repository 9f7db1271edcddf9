package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/wire"
)

// taskResult is the result of one task in the response body.
type taskResult struct {
	Index  int             `json:"index"`
	Result json.RawMessage `json:"result"`
}

// completeBody is the response body of a completed job.
type completeBody struct {
	Key     string       `json:"key"`
	Outcome string       `json:"outcome"`
	Results []taskResult `json:"results"`
}

// problemBody is a problem details object (RFC 9457).
type problemBody struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason"`
	// Field names the invalid field of the submission.
	Field string `json:"field,omitempty"`
	// RetryAfterMillis is the delay that the header Retry-After rounds to seconds.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, outcome, reason, detail string) {
	writeProblemBody(w, problemBody{Status: status, Detail: detail, Outcome: outcome, Reason: reason})
}

// writeRefusal responds that a submission is not run: none of its tasks has
// started or will start.
func writeRefusal(w http.ResponseWriter, r *refusal) {
	if r.retryAfter > 0 {
		setRetryAfter(w, r.retryAfter)
	}
	writeProblemBody(w, problemBody{
		Status: r.status, Detail: r.detail, Outcome: "notRun", Reason: r.reason, Field: r.field, RetryAfterMillis: r.retryAfter.Milliseconds(),
	})
}

// setRetryAfter sets the header Retry-After.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(admission.Seconds(d)))
}

func writeProblemBody(w http.ResponseWriter, body problemBody) {
	body.Title = http.StatusText(body.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// failedStatus returns the HTTP status code for a failed job.
func failedStatus(outcome *wire.Outcome) int {
	if outcome.GetReason() == reasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeOutcome responds with a recorded outcome.
func writeOutcome(w http.ResponseWriter, key string, outcome *wire.Outcome) {
	switch {
	case outcome.GetKind() == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		writeRefusal(w, &refusal{
			status: http.StatusServiceUnavailable, reason: outcome.GetReason(), detail: outcome.GetDetail(), retryAfter: briefRetryAfter(),
		})
		return
	case outcome.GetTruncated() && outcome.GetKind() == wire.OutcomeKind_OUTCOME_KIND_COMPLETE:
		writeProblem(w, http.StatusGone, "", "answerNotKept", "the job is complete, but its results were too large to be stored")
		return
	case outcome.GetKind() != wire.OutcomeKind_OUTCOME_KIND_COMPLETE:
		writeProblem(w, failedStatus(outcome), "failed", outcome.GetReason(), outcome.GetDetail())
		return
	}
	body := completeBody{Key: key, Outcome: "complete"}
	for n, r := range outcome.GetResults() {
		if !json.Valid(r) {
			r, _ = json.Marshal(string(r))
		}
		body.Results = append(body.Results, taskResult{Index: n, Result: r})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
