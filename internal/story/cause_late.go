package story

import (
	"fmt"
	"slices"
	"strings"

	"skylarklane.example/lib/event"
)

// rulesAbandoned are the rules for a job whose caller left or whose deadline
// passed.
var rulesAbandoned = []rule{
	{"entryPaused", explainEntryPaused},
	reasonIs("processStopped", "processStopped", func(s *Story, end *Line) string {
		return fmt.Sprintf("The process of entry %s was paused%s.", end.Process, describePause(s, end))
	}),
	{"lostWorker", explainLostWorker},
	{"orderUnanswered", explainUnanswered},
	{"neverPlaced", func(s *Story) string {
		if len(s.Runs) > 0 {
			return ""
		}
		end := s.end()
		return fmt.Sprintf("No task of the job was sent to a worker before the job was abandoned (%s)%s.", end.Fields[fieldReason], describeCapacity(end))
	}},
	{"launchesRefused", explainOnlyRefused},
	{"failedRuns", func(s *Story) string {
		if failed := failedRuns(s); len(failed) > 0 {
			return fmt.Sprintf("%d runs failed (on %v) before the job was abandoned.", len(failed), workersOf(failed))
		}
		return ""
	}},
	{"slowRun", explainSlowRun},
	{"callerLeft", explainCallerLeft},
	{"abandoned", func(s *Story) string {
		return fmt.Sprintf("Entry %s abandoned the job for the reason %s.", s.end().Process, orUnknown(s.end().Fields[fieldReason]))
	}},
}

// rulesComplete are the rules for what delayed a complete job.
var rulesComplete = []rule{
	{"lostWorker", explainLostWorker},
	{"cameAgain", func(s *Story) string {
		if !wasReceivedAgain(s) {
			return ""
		}
		first := s.Jobs[0]
		return fmt.Sprintf("The job was received %d times; entry %s did not respond the first time. %s", len(s.Jobs), first.Entry(), describeEntryLoss(s, first))
	}},
	{"overdue", explainOverdue},
	{"retried", func(s *Story) string {
		for _, r := range s.Runs {
			if r.Retried != nil || r.Refused != nil {
				return fmt.Sprintf("The job is complete; run %s on worker %s did not complete its task (%s), which was placed again.", r.Name(), orUnknown(r.Worker), orUnknown(r.reason()))
			}
		}
		return ""
	}},
	{"complete", func(s *Story) string {
		end := s.end()
		return fmt.Sprintf("The job is complete: first start after %s ms, last end after %s ms, response after %s ms.",
			orUnknown(end.Fields["startedMillis"]), orUnknown(end.Fields["endedMillis"]), orUnknown(end.Fields["answeredMillis"]))
	}},
}

// rulesUnanswered are the rules for a job without a logged end.
var rulesUnanswered = []rule{
	{"entryLost", func(s *Story) string {
		if len(s.Jobs) == 0 {
			return ""
		}
		return describeEntryLoss(s, s.Jobs[len(s.Jobs)-1])
	}},
	{"lostWorker", explainLostWorker},
	{"linesLeftOut", func(s *Story) string {
		if len(s.LeftOut) == 0 {
			return ""
		}
		return "No end of the job was logged, but lines were dropped in that time; the end may be one of them."
	}},
	{"stillOpen", func(s *Story) string {
		for _, r := range s.Runs {
			if !r.hasOutcome() {
				return fmt.Sprintf("Run %s on worker %s has no end in these logs.", r.Name(), orUnknown(r.Worker))
			}
		}
		return ""
	}},
}

// lossReasons are the retry reasons that mean that the run was lost.
var lossReasons = []string{"workerSilent", "agentSilent", "agentRestarted", "missing", "lost", "lapsed", "broken"}

// lostEnd is the value of fieldHow for a lost run.
const lostEnd = "lost"

// lost reports whether the run was lost with its worker or agent.
func (r *Run) lost() bool {
	return r.how() == lostEnd || slices.Contains(lossReasons, r.reason())
}

// hasLostRun reports whether a run of the request was lost.
func (s *Story) hasLostRun() bool { return slices.ContainsFunc(s.Runs, (*Run).lost) }

func explainLostWorker(s *Story) string {
	for _, r := range s.Runs {
		if r.Placed == nil && r.Started == nil {
			continue
		}
		if loss := s.lossOf(r); loss != nil {
			return fmt.Sprintf("Run %s was on worker %s when %s logged: %s%s", r.Name(), orUnknown(r.Worker), loss.Process, sentenceOf(loss), describeDelay(s, r))
		}
		if r.lost() {
			return fmt.Sprintf("Run %s was lost on worker %s (%s).%s", r.Name(), orUnknown(r.Worker), orUnknown(r.reason()), describeDelay(s, r))
		}
	}
	return ""
}

// lossOf returns the line that reports the loss of a run's worker or agent
// during the run, if any.
func (s *Story) lossOf(r *Run) *Line {
	if r.Ended != nil && !r.lost() {
		return nil
	}
	for _, l := range s.of(event.WorkerSilent, event.WorkerNewLife, event.AgentLost, event.AgentRestarted, event.SessionEnded, event.MemberDead) {
		about := l.Worker() == r.Worker && r.Worker != "" ||
			r.Agent != "" && (l.Fields[fieldAgent] == r.Agent || l.Fields["member"] == r.Agent) ||
			l.is(event.SessionEnded) && l.Process == r.Agent && l.Fields[fieldEntry] == r.entry.process
		if about && !l.At.Before(r.firstLine().At) && (r.Ended == nil || !l.At.After(r.Ended.At.Add(relatedAfter))) {
			return l
		}
	}
	return nil
}

// firstLine returns the line of the run's placement, or of its start if the
// placement is not logged.
func (r *Run) firstLine() *Line {
	if r.Placed != nil {
		return r.Placed
	}
	return r.Started
}

// describeDelay describes how long the task waited for its next run.
func describeDelay(s *Story, r *Run) string {
	for _, next := range s.Runs {
		if next.Task == r.Task && next.Placed != nil && next.Placed.At.After(r.firstLine().At) {
			return fmt.Sprintf(" Its task was placed again %d ms after that run; the run had to have certainly ended first.", next.Placed.At.Sub(r.firstLine().At).Milliseconds())
		}
	}
	return " Its task was not placed again in these logs."
}

func explainUnanswered(s *Story) string {
	for _, l := range s.of(event.OrderUnanswered, event.LaunchUnanswered, event.HaltUnanswered) {
		if s.Own(l) {
			return fmt.Sprintf("%s got no response: %s Worker %s, %s.", l.Process, l.Sentence(), orUnknown(l.Worker()), runsText(l))
		}
	}
	return ""
}

// runsText lists the runs of a line, or its task if it has none.
func runsText(l *Line) string {
	var names []string
	for _, name := range runNames(l) {
		names = append(names, name.task+"/"+name.attempt)
	}
	if len(names) == 0 {
		return "task " + orUnknown(l.Fields[fieldTask])
	}
	return strings.Join(names, " ")
}

// describePause describes how long an entry's process was paused.
func describePause(s *Story, end *Line) string {
	for _, l := range s.of(event.ProcessPaused) {
		if l.Process == end.Process {
			return fmt.Sprintf(", for %s ms", l.Fields["gapMillis"])
		}
	}
	return ""
}

func explainOnlyRefused(s *Story) string {
	for _, r := range s.Runs {
		if r.Started != nil || r.Refused == nil && r.Retried == nil {
			return ""
		}
	}
	return fmt.Sprintf("Agents refused all %d launches of the job until it was abandoned, the last one for %s.", len(s.Runs), orUnknown(s.Runs[len(s.Runs)-1].reason()))
}

// describeEntryLoss describes the loss of an entry that did not respond to a
// job.
func describeEntryLoss(s *Story, j *Job) string {
	if j.Ended != nil {
		return ""
	}
	from := s.Start()
	for _, l := range s.Lines {
		if l.At.Before(from) {
			continue
		}
		switch {
		case l.is(event.Stopping, event.Stopped, event.Failed) && l.owner() == j.owner,
			l.is(event.MemberDead) && l.Fields["member"] == j.owner.process:
			return fmt.Sprintf("Entry %s was lost with the job: %s", j.Entry(), sentenceOf(l))
		case l.is(event.ProcessStarted) && l.owner().isOtherIncarnation(j.owner):
			return fmt.Sprintf("Entry %s was lost with the job: it restarted as incarnation %s.", j.Entry(), l.Incarnation)
		}
	}
	return ""
}

// isOtherIncarnation reports whether o is another incarnation of the process.
func (o owner) isOtherIncarnation(former owner) bool {
	return o.process == former.process && o.part == former.part && o.incarnation != former.incarnation
}

// sentenceOf returns a line's sentence, with its reason in parentheses.
func sentenceOf(l *Line) string {
	if reason := l.Fields[fieldReason]; reason != "" {
		return l.Sentence() + " (" + reason + ")"
	}
	return l.Sentence()
}
