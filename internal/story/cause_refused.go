package story

import (
	"fmt"
	"strconv"

	"skylarklane.example/lib/event"
)

// oldWord is the age in milliseconds from which an agent's word is too old to
// tell what is free.
const oldWord = 250

// rulesRefused explain a request that was refused and not run.
var rulesRefused = []rule{
	{"entryPaused", explainEntryPaused},
	{"callerLeft", explainCallerLeft},
	reasonIs("entryLeaving", "leaving", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Entry %s was shutting down and took nothing new.", end.Process)
	}),
	reasonIs("processStopped", "processStopped", func(s *Story, end *Line) string {
		return fmt.Sprintf("Entry %s was itself stopped for a while%s.", end.Process, pauseOf(s, end))
	}),
	reasonIs("noConfig", "noConfig", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Entry %s had no configuration yet.", end.Process)
	}),
	reasonIs("sentAgain", "sentAgain", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The caller sent the job again while entry %s still had it.", end.Process)
	}),
	{"entryStarted", explainEntryStarted},
	{"agentsLost", explainAgentsLost},
	{"allEjected", explainAllEjected},
	{"noWorkers", explainNoWorkers},
	{"oldWord", explainOldWord},
	{"launchesRefused", explainLaunchesRefused},
	reasonIs("queueFull", "queueFull", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The queue of entry %s was full (%s waited)%s.", end.Process, end.Fields["queue"], roomOf(end))
	}),
	reasonIs("hopeless", "hopeless", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Entry %s expected that the job could not be done in time: %s jobs waited before it%s.", end.Process, end.Fields["queue"], roomOf(end))
	}),
	reasonIs("late", "late", func(_ *Story, end *Line) string {
		return fmt.Sprintf("The job waited %s ms at entry %s until it was too late%s.", end.Fields["waitedMillis"], end.Process, roomOf(end))
	}),
	{"refusedOtherwise", func(s *Story) string {
		end := s.end()
		return fmt.Sprintf("Entry %s refused it for the reason %s%s.", end.Process, orUnknown(end.Fields[fieldReason]), roomOf(end))
	}},
}

// roomOf tells what the entry knew of room.
func roomOf(end *Line) string {
	room, ok := end.Fields["workersWithRoom"]
	if !ok {
		return ""
	}
	known := end.Fields["workersKnown"]
	return fmt.Sprintf(", and by its knowledge %s of %s workers had room", room, orUnknown(known))
}

// explainEntryStarted tells of an entry that knew no worker as it had just
// started.
func explainEntryStarted(s *Story) string {
	end := s.end()
	if end.Fields[fieldReason] != "noWorkers" {
		return ""
	}
	for _, l := range s.of(event.ProcessStarted) {
		if l.owner() == end.owner() && !l.At.After(end.At) {
			return fmt.Sprintf("Entry %s had started %d ms before and had no agent's word yet.", end.Process, end.At.Sub(l.At).Milliseconds())
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
	n := count(lost)
	if s.ownLost() || !isMany(n, end) {
		return ""
	}
	return fmt.Sprintf("Entry %s had lost %d agents and counted their workers out, whether these were free or not; reason %s%s.",
		end.Process, n, end.Fields[fieldReason], roomOf(end))
}

func explainAllEjected(s *Story) string {
	end := s.end()
	out := map[string]bool{}
	for _, l := range s.of(event.WorkerEjected, event.WorkerReadmitted) {
		if l.owner() == end.owner() && !l.At.After(end.At) {
			out[l.Worker()] = l.is(event.WorkerEjected)
		}
	}
	if n := count(out); isMany(n, end) && !hasRoom(end) {
		return fmt.Sprintf("Entry %s had ejected %d workers; reason %s%s.", end.Process, n, end.Fields[fieldReason], roomOf(end))
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

func explainOldWord(s *Story) string {
	end := s.end()
	if age := end.Millis(fieldAge); age >= oldWord {
		return fmt.Sprintf("Entry %s decided by words of the agents that were up to %d ms old; reason %s%s.", end.Process, age, end.Fields[fieldReason], roomOf(end))
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
	return fmt.Sprintf("Agents refused %d launches of the job, the last one for %s; entry %s gave up for the reason %s.",
		refused, orUnknown(last), s.end().Process, s.end().Fields[fieldReason])
}

// hasRoom tells whether the entry knew of workers with room.
func hasRoom(end *Line) bool {
	n, err := strconv.Atoi(end.Fields["workersWithRoom"])
	return err == nil && n > 0
}

// isMany tells whether n workers are a good part of those that the entry knew.
func isMany(n int, end *Line) bool {
	known, err := strconv.Atoi(end.Fields["workersKnown"])
	return n > 0 && (err != nil || n*3 >= known)
}

func count(set map[string]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}
