package story

import (
	"strings"

	"skylarklane.example/lib/event"
)

// Job is one receipt of the request by an entry.
type Job struct {
	owner owner
	// Received and Ended are nil if there is no such line.
	Received *Line
	Ended    *Line
}

// Entry returns the id of the entry that had the job.
func (j *Job) Entry() string { return j.owner.process }

// jobEnds are the events that end a job at its entry.
var jobEnds = []*event.Event{event.JobEnded, event.JobFailed, event.JobRefused, event.JobAbandoned}

// jobsOf returns the receipts of the request.
func jobsOf(s *Story) []*Job {
	var jobs []*Job
	open := map[owner]*Job{}
	find := func(l *Line) *Job {
		j := open[l.owner()]
		if j == nil {
			j = &Job{owner: l.owner()}
			open[l.owner()] = j
			jobs = append(jobs, j)
		}
		return j
	}
	for _, l := range s.Lines {
		switch {
		case !s.own[l]:
		case l.is(event.JobReceived):
			delete(open, l.owner())
			find(l).Received = l
		case l.is(jobEnds...):
			find(l).Ended = l
			delete(open, l.owner())
		case l.is(event.JobPlaced):
			find(l)
		}
	}
	return jobs
}

// end returns the last end of the request, or nil if none was logged.
func (s *Story) end() *Line {
	for i := len(s.Jobs) - 1; i >= 0; i-- {
		if s.Jobs[i].Ended != nil {
			return s.Jobs[i].Ended
		}
	}
	return nil
}

// isComplete reports whether the request's last end is a successful one.
func (s *Story) isComplete() bool {
	end := s.end()
	return end != nil && end.is(event.JobEnded)
}

// Run is one run of a task, as logged by its entry and its agent.
type Run struct {
	Task    string
	Attempt string
	Worker  string
	Agent   string
	entry   owner
	// Lines of the run's events, each nil if there is none.
	Placed  *Line
	Started *Line
	Stopped *Line
	Ended   *Line
	Retried *Line
	Refused *Line
	// Halted is the entry's decision to stop the run, if any.
	Halted *Line
	// Unanswered is the report of a launch without a response, if any.
	Unanswered *Line
}

// Name returns the run's name, TASK/ATTEMPT.
func (r *Run) Name() string { return r.Task + "/" + r.Attempt }

// how returns how the run ended, or an empty string if unknown.
func (r *Run) how() string {
	if r.Ended != nil {
		return r.Ended.Fields[fieldHow]
	}
	return ""
}

// reason returns why the run was retried, refused or stopped.
func (r *Run) reason() string {
	for _, l := range []*Line{r.Retried, r.Refused, r.Ended, r.Stopped} {
		if l == nil {
			continue
		}
		for _, field := range []string{fieldDetail, fieldReason} {
			if reason := l.Fields[field]; reason != "" {
				return reason
			}
		}
	}
	return ""
}

// hasOutcome reports whether a line gives the outcome of the run.
func (r *Run) hasOutcome() bool { return r.Ended != nil || r.Refused != nil || r.Retried != nil }

// runsOf returns the runs of the request. Entries that had the same job number
// their attempts independently.
func runsOf(s *Story) []*Run {
	type key struct {
		entry, task, attempt string
	}
	var runs []*Run
	byKey := map[key]*Run{}
	for _, l := range s.Lines {
		if !s.own[l] {
			continue
		}
		for _, name := range runNames(l) {
			k := key{entryOf(l), name.task, name.attempt}
			r := byKey[k]
			if r == nil {
				r = &Run{Task: name.task, Attempt: name.attempt}
				byKey[k] = r
				runs = append(runs, r)
			}
			r.addLine(l)
		}
	}
	return runs
}

// runName identifies one run of a task.
type runName struct {
	task    string
	attempt string
}

// runNames returns the runs that a line names.
func runNames(l *Line) []runName {
	if task, attempt := l.Fields[fieldTask], l.Fields[fieldAttempt]; task != "" && attempt != "" {
		return []runName{{task, attempt}}
	}
	var names []runName
	for _, name := range strings.Fields(l.Fields[fieldRuns]) {
		task, attempt, _ := strings.Cut(name, "/")
		names = append(names, runName{task, attempt})
	}
	return names
}

// entryOf returns the entry to whose run the line refers.
func entryOf(l *Line) string {
	if entry := l.Fields[fieldEntry]; entry != "" {
		return entry
	}
	return l.Process
}

func (r *Run) addLine(l *Line) {
	if worker := l.Worker(); worker != "" {
		r.Worker = worker
	}
	if agent := l.Fields[fieldAgent]; agent != "" {
		r.Agent = agent
	}
	switch {
	case l.is(event.JobPlaced):
		r.Placed = l
		r.entry = l.owner()
	case l.is(event.RunStarted):
		r.Started = l
	case l.is(event.RunStopped, event.RunHalted):
		r.Stopped = l
		if l.is(event.RunHalted) {
			r.Halted = l
		}
	case l.is(event.RunEnded, event.RunFinished):
		r.Ended = l
	case l.is(event.RunRetried):
		r.Retried = l
	case l.is(event.LaunchUnanswered):
		r.Unanswered = l
	case l.is(event.LaunchRefused, event.RunRefused):
		r.Refused = l
	}
}
