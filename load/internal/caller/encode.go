package caller

import (
	"encoding/json"
	"time"

	"skylarklane.example/lib/standin"
	"skylarklane.example/load/internal/trace"
)

// submission is the request body of a job.
type submission struct {
	Kind           string `json:"kind"`
	DeadlineMillis int64  `json:"deadlineMillis,omitempty"`
	Tasks          []task `json:"tasks"`
}

type task struct {
	Payload standin.Payload `json:"payload"`
}

func encodeJob(job trace.Job) []byte {
	s := submission{Kind: job.Kind, DeadlineMillis: job.Deadline.Milliseconds()}
	for n, run := range job.Runs {
		s.Tasks = append(s.Tasks, task{Payload: standin.Payload{RunMillis: millis(run), Value: n}})
	}
	text, _ := json.Marshal(s)
	return text
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
