package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Payload is what the tasks of a stand-in carry. Unknown fields are ignored.
type Payload struct {
	// RunMillis is the true run time at speed 1.
	RunMillis float64 `json:"runMillis"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail,omitempty"`
	// Value comes back with the result.
	Value any `json:"value,omitempty"`
}

// Result is what a task answers.
type Result struct {
	Value any    `json:"value"`
	By    string `json:"by"`
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.list.add(Start{Job: r.Header.Get("Skylarklane-Job"), Task: r.Header.Get("Skylarklane-Task"), At: time.Now()})
	var p Payload
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &p)
	if s.options.FailAll {
		http.Error(w, "this server fails everything", http.StatusInternalServerError)
		return
	}
	if !wait(r.Context(), s.runTime(p)+2*s.options.Delay) {
		return
	}
	if p.Fail {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(Result{Value: p.Value, By: s.options.ID})
}

// runTime is how long this server takes for a task.
func (s *Server) runTime(p Payload) time.Duration {
	run := time.Duration(p.RunMillis / s.options.Speed * float64(time.Millisecond))
	if s.options.StraggleEvery > 0 && s.list.count()%s.options.StraggleEvery == 0 {
		run = time.Duration(float64(run) * s.options.Straggle)
	}
	if time.Since(s.begun) < s.options.WarmUp {
		run += s.options.WarmUp
	}
	return run
}

// wait waits for d; it returns false where ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
