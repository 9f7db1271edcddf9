package story

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/event"
)

// notSeen returns what one would expect to read and did not.
func notSeen(s *Story, log *Log) []string {
	var missing []string
	add := func(format string, args ...any) { missing = append(missing, fmt.Sprintf(format, args...)) }
	if len(s.Jobs) == 0 {
		add("no line of an entry on the job")
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
		if r.Placed != nil && !r.settled() && !s.isComplete() {
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
		add("lines that %s left out: %s", name, leftOutBy(s.LeftOut, name))
	}
	return missing
}

// leftOutNear returns the reports of lines left out while the request was there,
// by the processes that it met.
func leftOutNear(lines []*Line, own map[*Line]bool) []*Line {
	first, last := span(lines, own)
	peers := peersOf(own)
	var found []*Line
	for _, l := range lines {
		if l.is(event.LinesLeftOut) && peers[l.Process] && !l.At.Before(first) && !l.At.After(last.Add(after)) {
			found = append(found, l)
		}
	}
	return found
}

// namesOf returns the names of the processes of lines, each once.
func namesOf(lines []*Line) []string {
	var names []string
	for _, l := range lines {
		if !slices.Contains(names, l.Name()) {
			names = append(names, l.Name())
		}
	}
	return names
}

// leftOutBy sums what one process left out, by event.
func leftOutBy(lines []*Line, name string) string {
	counts := map[string]int64{}
	for _, l := range lines {
		if l.Name() != name {
			continue
		}
		for _, key := range l.Keys {
			if _, of, ok := strings.Cut(key, "."); ok {
				counts[of] += l.Millis(key)
			}
		}
	}
	var parts []string
	for _, of := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[of], of))
	}
	return strings.Join(parts, ", ")
}

// agentsOf returns the agents that the request's runs were sent to.
func agentsOf(s *Story) []string {
	var agents []string
	for _, r := range s.Runs {
		if r.Agent != "" && !slices.Contains(agents, r.Agent) {
			agents = append(agents, r.Agent)
		}
	}
	return agents
}

// silentProcesses names processes whose last line of all is before the
// request's last one.
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
		if seen := log.seen[peer]; seen != nil && last.Sub(seen.At) > after {
			silent = append(silent, fmt.Sprintf("no line at all from %s after %s", peer, seen.At.Format(time.TimeOnly+".000")))
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
