package story

import (
	"fmt"
	"time"
)

// endSlack is the tolerance between the time of a job's last end as its entry
// logged it and the time at which the agent logged that end.
const endSlack = 10 * time.Millisecond

// explainOverdue describes what delayed the last task of a job that was
// complete but late: earlier runs that did not complete it, the wait for free
// capacity, or the run itself.
func explainOverdue(s *Story) string {
	end := s.end()
	received := s.receivedBefore(end)
	late := end.Millis(fieldAnswered) - end.Millis(fieldDue)
	if late <= 0 || end.Fields[fieldDue] == "" || received == nil {
		return ""
	}
	lateText := fmt.Sprintf("The job was late by %d ms (due after %s ms)", late, end.Fields[fieldDue])
	if responseDelay := end.Millis(fieldAnswered) - end.Millis(fieldEnded); end.Fields[fieldEnded] != "" && 2*responseDelay > late {
		return fmt.Sprintf("%s: its tasks were done %d ms before its response.", lateText, responseDelay)
	}
	last := s.lastRun(received, end)
	if last == nil || last.Placed == nil {
		return lateText + ": the lines of its last run were dropped" + s.latestPlaced(received) + "."
	}
	return lateText + ": " + s.describeDelayOf(last, received, end)
}

// describeDelayOf describes what took the most time before the end of a run.
func (s *Story) describeDelayOf(last *Run, received, end *Line) string {
	waited := last.Placed.At.Sub(received.At)
	ran := last.endedBy(end).Sub(last.Placed.At)
	over := ran - time.Duration(received.Millis("idealMillis"))*time.Millisecond
	unfinished, refused := s.earlierRuns(last)
	switch {
	case over >= waited:
		return fmt.Sprintf("run %s took %d ms on worker %s, where %s ms were expected for the job on a worker of usual speed; its task had waited %d ms.",
			last.Name(), ran.Milliseconds(), orUnknown(last.Worker), orUnknown(received.Fields["idealMillis"]), waited.Milliseconds())
	case unfinished != nil:
		return fmt.Sprintf("run %s on worker %s did not complete its task (%s), which was sent elsewhere after %d ms.",
			unfinished.Name(), orUnknown(unfinished.Worker), orUnknown(unfinished.reason()), waited.Milliseconds())
	default:
		return fmt.Sprintf("task %s waited %d ms for free capacity on a worker (%d launches were refused), and then ran %d ms on worker %s.",
			last.Task, waited.Milliseconds(), refused, ran.Milliseconds(), orUnknown(last.Worker))
	}
}

// earlierRuns returns the last earlier run of the same task that did not
// complete it, nil if there was none, and the number of refused launches of the
// task.
func (s *Story) earlierRuns(last *Run) (unfinished *Run, refused int) {
	for _, r := range s.Runs {
		switch {
		case r == last || r.Task != last.Task || r.firstLine() != nil && r.firstLine().At.After(last.firstLine().At):
		case r.Refused != nil:
			refused++
		case r.Retried != nil || r.Ended != nil:
			unfinished = r
		}
	}
	return unfinished, refused
}

// lastRun returns the run that ended last, or nil if the lines don't determine
// it.
func (s *Story) lastRun(received, end *Line) *Run {
	last := received.At.Add(time.Duration(end.Millis(fieldEnded)) * time.Millisecond)
	var open []*Run
	tasks := map[string]bool{}
	for _, r := range s.Runs {
		switch {
		case !r.mayHaveCompleted() || r.entry != end.owner():
			continue
		case r.Ended == nil:
			open = append(open, r)
		case last.Sub(r.Ended.At).Abs() <= endSlack:
			return r
		}
		tasks[r.Task] = true
	}
	if len(open) == 1 && int64(len(tasks)) == received.Millis("tasks") {
		return open[0]
	}
	return nil
}

// mayHaveCompleted reports whether the run was placed and may have completed its
// task.
func (r *Run) mayHaveCompleted() bool {
	return r.Placed != nil && r.Refused == nil && r.Retried == nil
}

// latestPlaced describes the known run that was placed last.
func (s *Story) latestPlaced(received *Line) string {
	var latest *Run
	for _, r := range s.Runs {
		if r.mayHaveCompleted() && (latest == nil || r.Placed.At.After(latest.Placed.At)) {
			latest = r
		}
	}
	if latest == nil {
		return ""
	}
	return fmt.Sprintf("; the latest known run, %s, was sent to worker %s after %d ms",
		latest.Name(), orUnknown(latest.Worker), latest.Placed.At.Sub(received.At).Milliseconds())
}

// endedBy returns when the run ended, or when the job ended if that was earlier
// or the run has no logged end.
func (r *Run) endedBy(end *Line) time.Time {
	if r.Ended != nil && r.Ended.At.Before(end.At) {
		return r.Ended.At
	}
	return end.At
}
