package entry

import (
	"encoding/json"
	"net/http"

	"skylarklane.example/lib/wire"
)

// result is one task's result in an answer.
type result struct {
	Index  int             `json:"index"`
	Result json.RawMessage `json:"result"`
}

// answer is the body of a complete answer.
type answer struct {
	Key     string   `json:"key"`
	Outcome string   `json:"outcome"`
	Results []result `json:"results"`
}

// problemBody is a problem document of RFC 9457.
type problemBody struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason"`
}

func problem(w http.ResponseWriter, status int, outcome, reason, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemBody{
		Title: http.StatusText(status), Status: status, Detail: detail, Outcome: outcome, Reason: reason,
	})
}

func writeRecord(w http.ResponseWriter, key string, record *wire.Record) {
	if record.GetState() == wire.KeyState_KEY_STATE_FINISHED {
		writeOutcome(w, key, record.GetOutcome())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(map[string]string{"key": key, "state": "running"})
}

func writeOutcome(w http.ResponseWriter, key string, outcome *wire.Outcome) {
	if outcome.GetKind() != wire.OutcomeKind_OUTCOME_KIND_COMPLETE {
		problem(w, http.StatusBadGateway, "failed", outcome.GetReason(), outcome.GetDetail())
		return
	}
	body := answer{Key: key, Outcome: "complete"}
	for n, r := range outcome.GetResults() {
		if !json.Valid(r) {
			r, _ = json.Marshal(string(r))
		}
		body.Results = append(body.Results, result{Index: n, Result: r})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
