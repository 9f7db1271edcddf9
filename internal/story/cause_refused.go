package story

import (
	"fmt"
	"strconv"

	"skylarklane.example/lib/event"
)

// oldStatusMillis is the age in milliseconds from which an agent's status is too
// old to show the free capacity.
const oldStatusMillis = 250

// rulesRefused are the rules for a request that was refused and not run.
var rulesRefused = []rule{
	{"entryPaused", explainEntryPaused},
	{"callerLeft", explainCallerLeft},
	reasonIs("entryLeaving", "leaving", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Entry %s was shutting down and accepted no new jobs.", end.Process)
	}),
	reasonIs("processStopped", "processStopped", func(s *Story, end *Line) string {
		return fmt.Sprintf("The process of entry %s was paused%s.", end.Process, describePause(s, end))
	}),
	reasonIs("noConfig", "noConfig", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Entry %s had no configuration yet.", end.Process)
	}),
	reasonIs("sentAgain", "sentAgain", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The caller submitted the job again while entry %s was still processing it.", end.Process)
	}),
	reasonIs("earlierRuns", "earlierRuns", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The caller submitted the job again, and runs of its earlier attempt had not ended at entry %s by the new deadline.", end.Process)
	}),
	{"entryStarted", explainEntryStarted},
	{"agentsLost", explainAgentsLost},
	{"allEjected", explainAllEjected},
	{"noWorkers", explainNoWorkers},
	{"oldWord", explainOldStatus},
	{"launchesRefused", explainLaunchesRefused},
	reasonIs("queueFull", "queueFull", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The queue of entry %s was full (%s waited)%s.", end.Process, end.Fields["queue"], describeCapacity(end))
	}),
	reasonIs("hopeless", "hopeless", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Entry %s estimated that the job could not be completed in time: %s jobs were queued%s.", end.Process, end.Fields["queue"], describeCapacity(end))
	}),
	reasonIs("late", "late", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The job waited %s ms at entry %s until it could no longer be completed in time%s.", end.Fields["waitedMillis"], end.Process, describeCapacity(end))
	}),
	{"refusedOtherwise", func(s *Story) string {
		end := s.end()
		return fmt.Sprintf("Entry %s refused the request for the reason %s%s.", end.Process, orUnknown(end.Fields[fieldReason]), describeCapacity(end))
	}},
}

// describeCapacity describes the workers with free capacity as known to the
// entry.
func describeCapacity(end *Line) string {
	room, ok := end.Fields["workersWithRoom"]
	if !ok {
		return ""
	}
	known := end.Fields["workersKnown"]
	return fmt.Sprintf(", and as known to it %s of %s workers had free capacity", room, orUnknown(known))
}

// explainEntryStarted applies if the entry knew no worker because it had just
// started.
func explainEntryStarted(s *Story) string {
	end := s.end()
	if end.Fields[fieldReason] != "noWorkers" {
		return ""
	}
	for _, l := range s.of(event.ProcessStarted) {
		if l.owner() == end.owner() && !l.At.After(end.At) {
			return fmt.Sprintf("Entry %s had started %d ms before and had received no agent's status yet.", end.Process, end.At.Sub(l.At).Milliseconds())
		}
	}
	return ""
}

func explainAgentsLost(s *Story) string {
	end := s.end()
	if hasRoom(end) {
		return ""
	}
	lost := map[string]bool{}
	for _, l := range s.of(event.AgentLost, event.AgentRegained) {
		if l.owner() == end.owner() && !l.At.After(end.At) {
			lost[l.Fields[fieldAgent]] = l.is(event.AgentLost)
		}
	}
	n := countTrue(lost)
	if s.hasLostRun() || !isLargeShare(n, end) {
		return ""
	}
	return fmt.Sprintf("Entry %s had lost %d agents and did not use their workers, whether these had free capacity or not; reason %s%s.",
		end.Process, n, end.Fields[fieldReason], describeCapacity(end))
}

func explainAllEjected(s *Story) string {
	end := s.end()
	ejected := map[string]bool{}
	for _, l := range s.of(event.WorkerEjected, event.WorkerReadmitted) {
		if l.owner() == end.owner() && !l.At.After(end.At) {
			ejected[l.Worker()] = l.is(event.WorkerEjected)
		}
	}
	if n := countTrue(ejected); isLargeShare(n, end) && !hasRoom(end) {
		return fmt.Sprintf("Entry %s had ejected %d workers; reason %s%s.", end.Process, n, end.Fields[fieldReason], describeCapacity(end))
	}
	return ""
}

func explainNoWorkers(s *Story) string {
	end := s.end()
	if known, ok := end.Fields["workersKnown"]; end.Fields[fieldReason] != "noWorkers" && (!ok || known != "0") {
		return ""
	}
	if config := s.of(event.DependencyLost); len(config) > 0 {
		return fmt.Sprintf("Entry %s knew no worker for the job, and had lost %s.", end.Process, config[len(config)-1].Fields["dependency"])
	}
	return fmt.Sprintf("Entry %s knew no worker for the job: none had announced itself there under the configuration in force.", end.Process)
}

func explainOldStatus(s *Story) string {
	end := s.end()
	if age := end.Millis(fieldAge); age >= oldStatusMillis {
		return fmt.Sprintf("Entry %s decided by agents' status that was up to %d ms old; reason %s%s.", end.Process, age, end.Fields[fieldReason], describeCapacity(end))
	}
	return ""
}

func explainLaunchesRefused(s *Story) string {
	refused := 0
	last := ""
	for _, r := range s.Runs {
		if r.Refused != nil {
			refused++
			last = r.reason()
		}
	}
	if refused == 0 {
		return ""
	}
	return fmt.Sprintf("Agents refused %d launches of the job, the last one for %s; entry %s refused the job for the reason %s.",
		refused, orUnknown(last), s.end().Process, s.end().Fields[fieldReason])
}

// hasRoom reports whether the entry knew of workers with free capacity.
func hasRoom(end *Line) bool {
	n, err := strconv.Atoi(end.Fields["workersWithRoom"])
	return err == nil && n > 0
}

// isLargeShare reports whether n is positive and at least a third of the workers
// that the entry knew, if that number is logged.
func isLargeShare(n int, end *Line) bool {
	known, err := strconv.Atoi(end.Fields["workersKnown"])
	return n > 0 && (err != nil || n*3 >= known)
}

func countTrue(set map[string]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}
