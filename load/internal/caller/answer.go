package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"skylarklane.example/lib/standin"
	"skylarklane.example/load/internal/trace"
)

// Outcome is how a submission ended, as seen by the caller.
type Outcome string

// Outcomes of a submission. Complete, Failed and NotRun are those of the API.
const (
	// Complete means that the answer holds every result.
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	NotRun   Outcome = "notRun"
	// Lost means that no readable answer came.
	Lost Outcome = "lost"
	// Partial means that the answer says complete but lacks a result or holds
	// a wrong one.
	Partial Outcome = "partial"
)

// Answer is the answer to one job, with how it was obtained.
type Answer struct {
	Job     trace.Job
	Outcome Outcome
	Reason  string
	// Response is the time from the scheduled send time to the answer.
	Response time.Duration
	// Sends is the number of requests sent for the job.
	Sends int
	// At is the time at which the answer was complete.
	At time.Time
	// Again is the answer to the resubmission; nil if there was none.
	Again *Answer
	// Cancelled is set if the caller cancelled the job.
	Cancelled bool
}

// responseBody is the body of an answer or of an error response.
type responseBody struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Results []struct {
		Index  int            `json:"index"`
		Result standin.Result `json:"result"`
	} `json:"results"`
}

// parsedResponse is the outcome of one response, with the reason given.
type parsedResponse struct {
	outcome Outcome
	reason  string
}

func parseResponse(status int, data []byte, tasks int) parsedResponse {
	var b responseBody
	if err := json.Unmarshal(data, &b); err != nil {
		return parsedResponse{outcome: Lost, reason: "badBody"}
	}
	if status == http.StatusOK && b.Outcome == Complete {
		return b.checkResults(tasks)
	}
	if b.Outcome == "" {
		return parsedResponse{outcome: Failed, reason: b.Reason}
	}
	return parsedResponse{outcome: b.Outcome, reason: b.Reason}
}

// checkResults returns Complete if each task has its own result, in order, and
// Partial otherwise.
func (b *responseBody) checkResults(tasks int) parsedResponse {
	if len(b.Results) != tasks {
		return parsedResponse{outcome: Partial, reason: "missingResults"}
	}
	for n, entry := range b.Results {
		value, ok := entry.Result.Value.(float64)
		if entry.Index != n || !ok || int(value) != n {
			return parsedResponse{outcome: Partial, reason: "wrongResult"}
		}
	}
	return parsedResponse{outcome: Complete}
}
