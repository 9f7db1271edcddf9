package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"skylarklane.example/lib/standin"
	"skylarklane.example/load/internal/trace"
)

// Outcome is how a submission ended, as its caller saw it.
type Outcome string

// The outcomes.
const (
	// Complete answers hold every result.
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	NotRun   Outcome = "notRun"
	// Lost submissions got no answer at all.
	Lost Outcome = "lost"
	// Partial answers say complete but lack a result or hold a wrong one.
	Partial Outcome = "partial"
)

// Answer is what a caller got for one job.
type Answer struct {
	Job     trace.Job
	Outcome Outcome
	Reason  string
	// Response is the time from the intended send time.
	Response time.Duration
	// Sends is how often the job was sent.
	Sends int
	// At is when the answer had come.
	At time.Time
	// Again is what a resubmission got; nil where there was none.
	Again *Answer
	// Cancelled is set where the caller cancelled the job.
	Cancelled bool
}

// body is the body of an answer or of a problem.
type body struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Results []struct {
		Index  int            `json:"index"`
		Result standin.Result `json:"result"`
	} `json:"results"`
}

// reading is one response, read.
type reading struct {
	outcome Outcome
	reason  string
}

func read(status int, text []byte, tasks int) reading {
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return reading{outcome: Lost, reason: "badBody"}
	}
	if status == http.StatusOK && b.Outcome == Complete {
		return b.check(tasks)
	}
	if b.Outcome == "" {
		return reading{outcome: Failed, reason: b.Reason}
	}
	return reading{outcome: b.Outcome, reason: b.Reason}
}

// check tells whether each task has its own result, in order.
func (b *body) check(tasks int) reading {
	if len(b.Results) != tasks {
		return reading{outcome: Partial, reason: "missingResults"}
	}
	for n, one := range b.Results {
		value, ok := one.Result.Value.(float64)
		if one.Index != n || !ok || int(value) != n {
			return reading{outcome: Partial, reason: "wrongResult"}
		}
	}
	return reading{outcome: Complete}
}
