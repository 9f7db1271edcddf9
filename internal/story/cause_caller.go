package story

import (
	"fmt"
	"slices"
	"time"

	"skylarklane.example/lib/event"
)

// slowFactor is the multiple of its expected time from which a run counts as
// slow.
const slowFactor = 2

// pauseSlack is how long after the end of a pause an entry may receive requests
// that waited during the pause.
const pauseSlack = 100 * time.Millisecond

// callerLeft is the reason of a job whose caller disconnected.
const callerLeft = "callerLeft"

// pausedReasons are the reasons that a pause of the entry can cause.
var pausedReasons = []string{callerLeft, "hopeless", "late"}

// explainEntryPaused applies if the entry's process was paused while it had the
// job, or while the job waited to be read.
func explainEntryPaused(s *Story) string {
	end := s.end()
	if !slices.Contains(pausedReasons, end.Fields[fieldReason]) {
		return ""
	}
	for _, l := range s.of(event.ProcessPaused) {
		gap := time.Duration(l.Millis("gapMillis")) * time.Millisecond
		overlaps := l.At.Add(-gap).Before(end.At) && l.At.Add(pauseSlack).After(s.Start())
		if l.owner() == end.owner() && overlaps {
			return fmt.Sprintf("The process of entry %s was paused for %d ms, until %s; then it ended the job for the reason %s.",
				end.Process, gap.Milliseconds(), relativeTo(l.At, s.Start()), end.Fields[fieldReason])
		}
	}
	return ""
}

// relativeTo describes t by its distance from the receipt of the job.
func relativeTo(t, received time.Time) string {
	if t.Before(received) {
		return fmt.Sprintf("%d ms before the job was received", received.Sub(t).Milliseconds())
	}
	return fmt.Sprintf("%d ms after the job was received", t.Sub(received).Milliseconds())
}

// explainCallerLeft describes the progress of a job when its caller
// disconnected.
func explainCallerLeft(s *Story) string {
	end := s.end()
	if end.Fields[fieldReason] != callerLeft {
		return ""
	}
	if received := s.receivedBefore(end); received != nil {
		deadline, ideal := received.Millis(fieldDeadline), received.Millis("idealMillis")
		if deadline > 0 && deadline < ideal {
			return fmt.Sprintf("The caller set a deadline of %d ms and left after %s ms; the job takes %d ms on a worker of usual speed.",
				deadline, end.Fields[fieldAnswered], ideal)
		}
	}
	return fmt.Sprintf("The caller left after %s ms; the job was due after %s ms. %s tasks were not complete; %s runs were in progress.",
		orUnknown(end.Fields[fieldAnswered]), orUnknown(end.Fields[fieldDue]), orUnknown(end.Fields["tasksLeft"]), orUnknown(end.Fields["running"]))
}

// receivedBefore returns the line of the job's receipt that belongs to this end,
// or nil if there is none.
func (s *Story) receivedBefore(end *Line) *Line {
	for _, j := range s.Jobs {
		if j.Ended == end {
			return j.Received
		}
	}
	return nil
}

// explainSlowRun applies if a run had taken much longer than expected when the
// job was abandoned.
func explainSlowRun(s *Story) string {
	end := s.end()
	for _, r := range s.Runs {
		if r.Placed == nil || r.hasOutcome() && r.how() != "stopped" {
			continue
		}
		ran := end.At.Sub(r.Placed.At).Milliseconds()
		if expected := r.expectedMillis(); expected > 0 && ran < slowFactor*expected {
			continue
		}
		return fmt.Sprintf("Run %s had been in progress on worker %s for %d ms when the job was abandoned (%s).",
			r.Name(), orUnknown(r.Worker), ran, end.Fields[fieldReason])
	}
	return ""
}

// expectedMillis returns the expected time of a run that was halted, or 0 if no
// line has it.
func (r *Run) expectedMillis() int64 {
	if r.Halted == nil {
		return 0
	}
	return r.Halted.Millis("expectedMillis")
}
