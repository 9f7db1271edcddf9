package story

import (
	"fmt"
	"slices"
	"time"

	"skylarklane.example/lib/event"
)

// slowFactor is how many times its expected time a run takes at least that
// counts as slow.
const slowFactor = 2

// afterPause is how long after a pause an entry meets what waited meanwhile.
const afterPause = 100 * time.Millisecond

// callerLeft is the reason of a job whose caller left.
const callerLeft = "callerLeft"

// pausedReasons are the reasons that a stopped entry may lead to.
var pausedReasons = []string{callerLeft, "hopeless", "late"}

// explainEntryPaused tells of an entry that was stopped while it had the job, or
// while the job waited to be read.
func explainEntryPaused(s *Story) string {
	end := s.end()
	if !slices.Contains(pausedReasons, end.Fields[fieldReason]) {
		return ""
	}
	for _, l := range s.of(event.ProcessPaused) {
		gap := time.Duration(l.Millis("gapMillis")) * time.Millisecond
		bears := l.At.Add(-gap).Before(end.At) && l.At.Add(afterPause).After(s.Start())
		if l.owner() == end.owner() && bears {
			return fmt.Sprintf("Entry %s was itself stopped for %d ms, until %s; then it gave the job up for the reason %s.",
				end.Process, gap.Milliseconds(), relativeTo(l.At, s.Start()), end.Fields[fieldReason])
		}
	}
	return ""
}

// relativeTo tells how long before or after the receipt of the job t is.
func relativeTo(t, received time.Time) string {
	if t.Before(received) {
		return fmt.Sprintf("%d ms before the job came in", received.Sub(t).Milliseconds())
	}
	return fmt.Sprintf("%d ms after the job came in", t.Sub(received).Milliseconds())
}

// explainCallerLeft tells how far a job was when its caller left.
func explainCallerLeft(s *Story) string {
	end := s.end()
	if end.Fields[fieldReason] != callerLeft {
		return ""
	}
	if received := s.receivedBefore(end); received != nil {
		deadline, ideal := received.Millis(fieldDeadline), received.Millis("idealMillis")
		if deadline > 0 && deadline < ideal {
			return fmt.Sprintf("The caller gave the job %d ms and left after %s ms; it takes %d ms at a good worker.",
				deadline, end.Fields[fieldAnswered], ideal)
		}
	}
	return fmt.Sprintf("The caller left after %s ms; the job was due after %s ms. %s tasks were not done, %s of them at work.",
		orUnknown(end.Fields[fieldAnswered]), orUnknown(end.Fields[fieldDue]), orUnknown(end.Fields["tasksLeft"]), orUnknown(end.Fields["running"]))
}

// receivedBefore returns the receipt of the job that ended so, nil where no
// line tells it.
func (s *Story) receivedBefore(end *Line) *Line {
	for _, j := range s.Jobs {
		if j.Ended == end {
			return j.Received
		}
	}
	return nil
}

// explainSlowRun tells of a run that took much longer than expected when the job
// was given up.
func explainSlowRun(s *Story) string {
	end := s.end()
	for _, r := range s.Runs {
		if r.Placed == nil || r.settled() && r.how() != "stopped" {
			continue
		}
		ran := end.At.Sub(r.Placed.At).Milliseconds()
		if expected := r.expectedMillis(); expected > 0 && ran < slowFactor*expected {
			continue
		}
		return fmt.Sprintf("Run %s had worked on worker %s for %d ms when the job was given up (%s).",
			r.Name(), orUnknown(r.Worker), ran, end.Fields[fieldReason])
	}
	return ""
}

// expectedMillis returns the expected time of a run that was halted, 0 where no
// line tells it.
func (r *Run) expectedMillis() int64 {
	if r.Halted == nil {
		return 0
	}
	return r.Halted.Millis("expectedMillis")
}
