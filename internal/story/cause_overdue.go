package story

import (
	"fmt"
	"time"
)

// endSlack is how long before or after a job's last end, as its entry counts it,
// the agent may have logged that end.
const endSlack = 10 * time.Millisecond

// explainOverdue tells what held up the last task of a job that was complete
// but late: runs that did not count, the wait for room, or the run itself.
func explainOverdue(s *Story) string {
	end := s.end()
	received := s.receivedBefore(end)
	late := end.Millis(fieldAnswered) - end.Millis(fieldDue)
	if late <= 0 || end.Fields[fieldDue] == "" || received == nil {
		return ""
	}
	lateText := fmt.Sprintf("The job was late by %d ms (due after %s ms)", late, end.Fields[fieldDue])
	if held := end.Millis(fieldAnswered) - end.Millis(fieldEnded); end.Fields[fieldEnded] != "" && 2*held > late {
		return fmt.Sprintf("%s: its tasks were done %d ms before its answer.", lateText, held)
	}
	last := s.lastRun(received, end)
	if last == nil || last.Placed == nil {
		return lateText + ": the lines of its last run were left out" + s.latestPlaced(received) + "."
	}
	return lateText + ": " + s.heldUp(last, received, end)
}

// heldUp tells what took longest before the end of a run.
func (s *Story) heldUp(last *Run, received, end *Line) string {
	waited := last.Placed.At.Sub(received.At)
	ran := last.endedBy(end).Sub(last.Placed.At)
	over := ran - time.Duration(received.Millis("idealMillis"))*time.Millisecond
	lost, refused := s.before(last)
	switch {
	case over >= waited:
		return fmt.Sprintf("run %s took %d ms on worker %s, where %s ms were expected for the job at a good worker; its task had waited %d ms.",
			last.Name(), ran.Milliseconds(), orUnknown(last.Worker), orUnknown(received.Fields["idealMillis"]), waited.Milliseconds())
	case lost != nil:
		return fmt.Sprintf("run %s at worker %s did not count (%s), and its task was sent elsewhere after %d ms.",
			lost.Name(), orUnknown(lost.Worker), orUnknown(lost.reason()), waited.Milliseconds())
	default:
		return fmt.Sprintf("task %s waited %d ms for room at a worker (%d launches were refused), and then ran %d ms on worker %s.",
			last.Task, waited.Milliseconds(), refused, ran.Milliseconds(), orUnknown(last.Worker))
	}
}

// before returns the last run of the same task that was started in vain, nil if
// none was, and how many of its launches were refused.
func (s *Story) before(last *Run) (lost *Run, refused int) {
	for _, r := range s.Runs {
		switch {
		case r == last || r.Task != last.Task || r.first() != nil && r.first().At.After(last.first().At):
		case r.Refused != nil:
			refused++
		case r.Retried != nil || r.Ended != nil:
			lost = r
		}
	}
	return lost, refused
}

// lastRun returns the run that ended last, nil where the lines leave that open.
func (s *Story) lastRun(received, end *Line) *Run {
	last := received.At.Add(time.Duration(end.Millis(fieldEnded)) * time.Millisecond)
	var open []*Run
	tasks := map[string]bool{}
	for _, r := range s.Runs {
		switch {
		case !r.counts() || r.entry != end.owner():
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

// counts tells whether the run was placed and may have done its task.
func (r *Run) counts() bool {
	return r.Placed != nil && r.Refused == nil && r.Retried == nil
}

// latestPlaced tells of the run that was placed last of those that are known.
func (s *Story) latestPlaced(received *Line) string {
	var latest *Run
	for _, r := range s.Runs {
		if r.counts() && (latest == nil || r.Placed.At.After(latest.Placed.At)) {
			latest = r
		}
	}
	if latest == nil {
		return ""
	}
	return fmt.Sprintf("; the latest that is known, %s, was sent to worker %s after %d ms",
		latest.Name(), orUnknown(latest.Worker), latest.Placed.At.Sub(received.At).Milliseconds())
}

// endedBy returns when the run ended, at the latest with the job.
func (r *Run) endedBy(end *Line) time.Time {
	if r.Ended != nil && r.Ended.At.Before(end.At) {
		return r.Ended.At
	}
	return end.At
}
