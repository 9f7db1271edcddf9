// Package judge compares the answers that callers got with the tasks that the
// backend servers started, and counts violations of the system's guarantees.
package judge

import (
	"time"

	"skylarklane.example/lib/standin"
	"skylarklane.example/load/internal/caller"
)

// Verdict counts violations of the system's guarantees. All fields but Starts
// must be 0.
type Verdict struct {
	// Starts is the number of task starts at the backend servers.
	Starts int `json:"starts"`
	// Lost is the number of submissions without a readable answer.
	Lost int `json:"lost"`
	// Doubled is the number of tasks that were started more than once.
	Doubled int `json:"doubled"`
	// Partial is the number of answers that said complete but lacked a result or
	// held a wrong one.
	Partial int `json:"partial"`
	// FalseRefusals is the number of answers that said notRun although a task of
	// the job had been started.
	FalseRefusals int `json:"falseRefusals"`
	// Unstarted is the number of complete answers to jobs of which a task was
	// never started.
	Unstarted int `json:"unstarted"`
	// Differing is the number of jobs whose two submissions under the same key
	// were both run but got different outcomes.
	Differing int `json:"differing"`
}

// taskID identifies a task at the backend servers.
type taskID struct{ job, task string }

// jobStarts is the number of tasks of a job that were started, and the time of
// the first start.
type jobStarts struct {
	tasks int
	first time.Time
}

// New returns the verdict on a run. Starts of jobs that are not among the
// answers, such as the jobs that test whether the system is ready, are ignored.
func New(answers []caller.Answer, starts []standin.Start) Verdict {
	var v Verdict
	tasks := map[taskID]int{}
	jobs := map[string]jobStarts{}
	for _, answer := range answers {
		jobs[answer.Job.Key] = jobStarts{}
	}
	for _, start := range starts {
		if _, known := jobs[start.Job]; !known {
			continue
		}
		v.Starts++
		task := taskID{start.Job, start.Task}
		tasks[task]++
		if tasks[task] == 1 {
			jobs[start.Job] = jobs[start.Job].withStart(start)
		}
		if tasks[task] == 2 {
			v.Doubled++
		}
	}
	for _, answer := range answers {
		v.add(answer, jobs[answer.Job.Key])
		if answer.Again == nil {
			continue
		}
		v.add(*answer.Again, jobs[answer.Job.Key])
		if wasRun(answer) && wasRun(*answer.Again) && answer.Outcome != answer.Again.Outcome {
			v.Differing++
		}
	}
	return v
}

// Broken reports whether a guarantee was violated.
func (v Verdict) Broken() bool {
	return v.Lost+v.Doubled+v.Partial+v.FalseRefusals+v.Unstarted+v.Differing > 0
}

func (v *Verdict) add(answer caller.Answer, s jobStarts) {
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

func (s jobStarts) withStart(start standin.Start) jobStarts {
	if s.tasks == 0 || start.At.Before(s.first) {
		s.first = start.At
	}
	s.tasks++
	return s
}

// contradicts reports whether a refusal was false. A job of an idempotent kind
// may be run under the same key after it was refused, but not before.
func (s jobStarts) contradicts(answer caller.Answer) bool {
	if s.tasks == 0 {
		return false
	}
	return !answer.Job.Idempotent || s.first.Before(answer.At)
}

func wasRun(answer caller.Answer) bool {
	return answer.Outcome == caller.Complete || answer.Outcome == caller.Failed
}
