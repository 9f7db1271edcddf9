package story

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/event"
)

// describeMissing returns descriptions of lines that are expected but missing.
func describeMissing(s *Story, log *Log) []string {
	var missing []string
	add := func(format string, args ...any) { missing = append(missing, fmt.Sprintf(format, args...)) }
	if len(s.Jobs) == 0 {
		add("no line of an entry about the job")
	}
	for _, j := range s.Jobs {
		if j.Received == nil {
			add("no receipt of the job at %s", j.Entry())
		}
		if j.Ended == nil {
			add("no end of the job at %s", j.Entry())
		}
	}
	for _, r := range s.Runs {
		if r.Placed != nil && !r.hasOutcome() && !s.isComplete() {
			add("no end of run %s at worker %s", r.Name(), orUnknown(r.Worker))
		}
	}
	for _, agent := range agentsOf(s) {
		if !log.ids[agent] {
			add("no line from agent %s", agent)
		}
	}
	missing = append(missing, silentProcesses(s, log)...)
	for _, name := range namesOf(s.LeftOut) {
		add("lines dropped by %s: %s", name, leftOutBy(s.LeftOut, name))
	}
	return missing
}

// leftOutNear returns the reports of dropped lines during the request, by
// processes that were involved in it.
func leftOutNear(lines []*Line, own map[*Line]bool) []*Line {
	first, last := span(lines, own)
	peers := peersOf(own)
	var found []*Line
	for _, l := range lines {
		if l.is(event.LinesLeftOut) && peers[l.Process] && !l.At.Before(first) && !l.At.After(last.Add(relatedAfter)) {
			found = append(found, l)
		}
	}
	return found
}

// namesOf returns the distinct process names of lines.
func namesOf(lines []*Line) []string {
	var names []string
	for _, l := range lines {
		if !slices.Contains(names, l.Name()) {
			names = append(names, l.Name())
		}
	}
	return names
}

// leftOutBy sums the lines dropped by one process, by event.
func leftOutBy(lines []*Line, name string) string {
	counts := map[string]int64{}
	for _, l := range lines {
		if l.Name() != name {
			continue
		}
		for _, key := range l.Keys {
			if _, eventName, ok := strings.Cut(key, "."); ok {
				counts[eventName] += l.Millis(key)
			}
		}
	}
	var parts []string
	for _, eventName := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[eventName], eventName))
	}
	return strings.Join(parts, ", ")
}

// agentsOf returns the agents to which runs of the request were sent.
func agentsOf(s *Story) []string {
	var agents []string
	for _, r := range s.Runs {
		if r.Agent != "" && !slices.Contains(agents, r.Agent) {
			agents = append(agents, r.Agent)
		}
	}
	return agents
}

// silentProcesses describes processes whose last line is earlier than the last
// line of the request.
func silentProcesses(s *Story, log *Log) []string {
	last := s.Lines[0].At
	var peers []string
	for _, l := range s.Lines {
		if !s.own[l] {
			continue
		}
		last = l.At
		if !slices.Contains(peers, l.Name()) {
			peers = append(peers, l.Name())
		}
	}
	var silent []string
	for _, peer := range peers {
		if seen := log.seen[peer]; seen != nil && last.Sub(seen.At) > relatedAfter {
			silent = append(silent, fmt.Sprintf("no line from %s after %s", peer, seen.At.Format(time.TimeOnly+".000")))
		}
	}
	return silent
}

func orUnknown(s string) string {
	if s == "" {
		return "(unknown)"
	}
	return s
}
