// Package judge holds the answers that callers got against what the backend
// servers started.
package judge

import (
	"time"

	"skylarklane.example/lib/standin"
	"skylarklane.example/load/internal/caller"
)

// Verdict counts broken promises. All but Starts must be 0.
type Verdict struct {
	// Starts of tasks by the backend servers.
	Starts int `json:"starts"`
	// Lost submissions got no answer.
	Lost int `json:"lost"`
	// Doubled tasks started more than once.
	Doubled int `json:"doubled"`
	// Partial answers said complete without being so.
	Partial int `json:"partial"`
	// FalseRefusals said notRun of a job of which a task had started.
	FalseRefusals int `json:"falseRefusals"`
	// Unstarted answers were complete although a task had not started.
	Unstarted int `json:"unstarted"`
	// Differing answers came for the same key.
	Differing int `json:"differing"`
}

// id names a task as the backend servers saw it.
type id struct{ job, task string }

// started is what the backend servers know of a job.
type started struct {
	tasks int
	first time.Time
}

// New returns the verdict on a run. Starts of jobs that have no answer here,
// such as those by which a run is prepared, are left out.
func New(answers []caller.Answer, starts []standin.Start) Verdict {
	var v Verdict
	tasks := map[id]int{}
	jobs := map[string]started{}
	for _, answer := range answers {
		jobs[answer.Job.Key] = started{}
	}
	for _, start := range starts {
		if _, ours := jobs[start.Job]; !ours {
			continue
		}
		v.Starts++
		one := id{start.Job, start.Task}
		tasks[one]++
		if tasks[one] == 1 {
			jobs[start.Job] = jobs[start.Job].with(start)
		}
		if tasks[one] == 2 {
			v.Doubled++
		}
	}
	for _, answer := range answers {
		v.add(answer, jobs[answer.Job.Key])
		if answer.Again == nil {
			continue
		}
		v.add(*answer.Again, jobs[answer.Job.Key])
		if ran(answer) && ran(*answer.Again) && answer.Outcome != answer.Again.Outcome {
			v.Differing++
		}
	}
	return v
}

// Broken tells whether a promise was broken.
func (v Verdict) Broken() bool {
	return v.Lost+v.Doubled+v.Partial+v.FalseRefusals+v.Unstarted+v.Differing > 0
}

func (v *Verdict) add(answer caller.Answer, s started) {
	switch {
	case answer.Outcome == caller.Lost:
		v.Lost++
	case answer.Outcome == caller.Partial:
		v.Partial++
	case answer.Outcome == caller.NotRun && s.contradicts(answer):
		v.FalseRefusals++
	case answer.Outcome == caller.Complete && s.tasks < len(answer.Job.Runs):
		v.Unstarted++
	}
}

func (s started) with(start standin.Start) started {
	if s.tasks == 0 || start.At.Before(s.first) {
		s.first = start.At
	}
	s.tasks++
	return s
}

// contradicts tells whether a refusal was false. A key of an idempotent kind
// may run after its refusal was told, but not before.
func (s started) contradicts(answer caller.Answer) bool {
	if s.tasks == 0 {
		return false
	}
	return !answer.Job.Idempotent || s.first.Before(answer.At)
}

func ran(answer caller.Answer) bool {
	return answer.Outcome == caller.Complete || answer.Outcome == caller.Failed
}
