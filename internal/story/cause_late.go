package story

import (
	"fmt"
	"slices"
	"strings"

	"skylarklane.example/lib/event"
)

// rulesAbandoned explain a job whose caller left or whose deadline passed.
var rulesAbandoned = []rule{
	{"entryPaused", explainEntryPaused},
	reasonIs("processStopped", "processStopped", func(s *Story, end *Line) string {
		return fmt.Sprintf("Entry %s was itself stopped for a while%s.", end.Process, pauseOf(s, end))
	}),
	{"lostWorker", explainLostWorker},
	{"orderUnanswered", explainUnanswered},
	{"neverPlaced", func(s *Story) string {
		if len(s.Runs) > 0 {
			return ""
		}
		end := s.end()
		return fmt.Sprintf("No task of the job was sent to a worker before it was given up (%s)%s.", end.Fields[fieldReason], roomOf(end))
	}},
	{"launchesRefused", explainOnlyRefused},
	{"failedRuns", func(s *Story) string {
		if failed := failedRuns(s); len(failed) > 0 {
			return fmt.Sprintf("%d runs failed (on %v) before the job was given up.", len(failed), workersOf(failed))
		}
		return ""
	}},
	{"slowRun", explainSlowRun},
	{"callerLeft", explainCallerLeft},
	{"abandoned", func(s *Story) string {
		return fmt.Sprintf("The job was given up at entry %s for the reason %s.", s.end().Process, orUnknown(s.end().Fields[fieldReason]))
	}},
}

// rulesComplete explain what held a complete job up.
var rulesComplete = []rule{
	{"lostWorker", explainLostWorker},
	{"cameAgain", func(s *Story) string {
		if !cameAgain(s) {
			return ""
		}
		first := s.Jobs[0]
		return fmt.Sprintf("The job came in %d times; entry %s did not answer the first time. %s", len(s.Jobs), first.Entry(), whatBefell(s, first))
	}},
	{"overdue", explainOverdue},
	{"retried", func(s *Story) string {
		for _, r := range s.Runs {
			if r.Retried != nil || r.Refused != nil {
				return fmt.Sprintf("The job is complete; run %s at worker %s did not count (%s) and its task went elsewhere.", r.Name(), orUnknown(r.Worker), orUnknown(r.reason()))
			}
		}
		return ""
	}},
	{"complete", func(s *Story) string {
		end := s.end()
		return fmt.Sprintf("The job is complete: first start after %s ms, last end after %s ms, answer after %s ms.",
			orUnknown(end.Fields["startedMillis"]), orUnknown(end.Fields["endedMillis"]), orUnknown(end.Fields["answeredMillis"]))
	}},
}

// rulesUnanswered explain a job for which no end was logged.
var rulesUnanswered = []rule{
	{"entryLost", func(s *Story) string {
		if len(s.Jobs) == 0 {
			return ""
		}
		return whatBefell(s, s.Jobs[len(s.Jobs)-1])
	}},
	{"lostWorker", explainLostWorker},
	{"linesLeftOut", func(s *Story) string {
		if len(s.LeftOut) == 0 {
			return ""
		}
		return "No end of the job was logged, and lines were left out meanwhile: its end may be among them."
	}},
	{"stillOpen", func(s *Story) string {
		for _, r := range s.Runs {
			if !r.settled() {
				return fmt.Sprintf("Run %s at worker %s has no end in these logs.", r.Name(), orUnknown(r.Worker))
			}
		}
		return ""
	}},
}

// lossReasons are reasons of retries that mean a lost run.
var lossReasons = []string{"workerSilent", "agentSilent", "agentRestarted", "missing", "lost", "lapsed", "broken"}

// lostEnd is how a lost run ends.
const lostEnd = "lost"

// lost tells whether the run was lost with its worker or agent.
func (r *Run) lost() bool {
	return r.how() == lostEnd || slices.Contains(lossReasons, r.reason())
}

// ownLost tells whether a run of the request was lost.
func (s *Story) ownLost() bool { return slices.ContainsFunc(s.Runs, (*Run).lost) }

func explainLostWorker(s *Story) string {
	for _, r := range s.Runs {
		if r.Placed == nil && r.Started == nil {
			continue
		}
		if loss := s.lossOf(r); loss != nil {
			return fmt.Sprintf("Run %s was at worker %s when %s told: %s%s", r.Name(), orUnknown(r.Worker), loss.Process, sentenceOf(loss), delayOf(s, r))
		}
		if r.lost() {
			return fmt.Sprintf("Run %s was lost at worker %s (%s).%s", r.Name(), orUnknown(r.Worker), orUnknown(r.reason()), delayOf(s, r))
		}
	}
	return ""
}

// lossOf returns the line that tells of the loss of a run's worker or agent
// while the run was there, if any.
func (s *Story) lossOf(r *Run) *Line {
	if r.Ended != nil && !r.lost() {
		return nil
	}
	for _, l := range s.of(event.WorkerSilent, event.WorkerNewLife, event.AgentLost, event.AgentRestarted, event.SessionEnded, event.MemberDead) {
		about := l.Worker() == r.Worker && r.Worker != "" ||
			r.Agent != "" && (l.Fields[fieldAgent] == r.Agent || l.Fields["member"] == r.Agent) ||
			l.is(event.SessionEnded) && l.Process == r.Agent && l.Fields[fieldEntry] == r.entry.process
		if about && !l.At.Before(r.first().At) && (r.Ended == nil || !l.At.After(r.Ended.At.Add(after))) {
			return l
		}
	}
	return nil
}

// first returns the first line of the run that is known.
func (r *Run) first() *Line {
	if r.Placed != nil {
		return r.Placed
	}
	return r.Started
}

// delayOf tells how long the task waited for its next run.
func delayOf(s *Story, r *Run) string {
	for _, next := range s.Runs {
		if next.Task == r.Task && next.Placed != nil && next.Placed.At.After(r.first().At) {
			return fmt.Sprintf(" Its task was placed again %d ms after that run, as it had to be surely gone.", next.Placed.At.Sub(r.first().At).Milliseconds())
		}
	}
	return " Its task was not placed again in these logs."
}

func explainUnanswered(s *Story) string {
	for _, l := range s.of(event.OrderUnanswered, event.LaunchUnanswered, event.HaltUnanswered) {
		if s.Own(l) {
			return fmt.Sprintf("%s got no answer: %s Worker %s, %s.", l.Process, l.Sentence(), orUnknown(l.Worker()), runsText(l))
		}
	}
	return ""
}

// runsText names the runs of a line.
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

// pauseOf tells how long an entry was stopped.
func pauseOf(s *Story, end *Line) string {
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
	return fmt.Sprintf("Agents refused all %d launches of the job until it was given up, the last one for %s.", len(s.Runs), orUnknown(s.Runs[len(s.Runs)-1].reason()))
}

// whatBefell tells what happened to an entry that did not answer a job.
func whatBefell(s *Story, j *Job) string {
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
		case l.is(event.ProcessStarted) && l.owner().isNext(j.owner):
			return fmt.Sprintf("Entry %s was lost with the job: it started anew as incarnation %s.", j.Entry(), l.Incarnation)
		}
	}
	return ""
}

// isNext tells whether o is another incarnation of the process.
func (o owner) isNext(former owner) bool {
	return o.process == former.process && o.part == former.part && o.incarnation != former.incarnation
}

// sentenceOf returns a line's sentence and its reason.
func sentenceOf(l *Line) string {
	if reason := l.Fields[fieldReason]; reason != "" {
		return l.Sentence() + " (" + reason + ")"
	}
	return l.Sentence()
}
