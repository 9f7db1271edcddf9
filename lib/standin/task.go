package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Payload is the payload of the server's tasks. Unknown fields are ignored.
type Payload struct {
	// RunMillis is the actual run time at speed 1, in milliseconds.
	RunMillis float64 `json:"runMillis"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail,omitempty"`
	// Value is returned in the result.
	Value any `json:"value,omitempty"`
}

// Result is the result of a task.
type Result struct {
	Value any    `json:"value"`
	By    string `json:"by"`
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.log.add(Start{Job: r.Header.Get("Skylarklane-Job"), Task: r.Header.Get("Skylarklane-Task"), At: time.Now()})
	var p Payload
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &p)
	if s.options.FailAll {
		http.Error(w, "the server is configured to fail every task", http.StatusInternalServerError)
		return
	}
	if !wait(r.Context(), s.runTime(p)+2*s.options.Delay) {
		return
	}
	if p.Fail {
		http.Error(w, "the payload asks for a failure", http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(Result{Value: p.Value, By: s.options.ID})
}

// runTime returns how long this server runs a task.
func (s *Server) runTime(p Payload) time.Duration {
	run := time.Duration(p.RunMillis / s.options.Speed * float64(time.Millisecond))
	if s.options.StragglerInterval > 0 && s.log.count()%s.options.StragglerInterval == 0 {
		run = time.Duration(float64(run) * s.options.StragglerFactor)
	}
	if time.Since(s.startedAt) < s.options.WarmUp {
		run += s.options.WarmUp
	}
	return run
}

// wait waits for d, and returns false if ctx ends first.
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
