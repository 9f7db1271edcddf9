package story

import (
	"fmt"
	"slices"
	"time"
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
	for _, l := range s.LeftOut {
		add("lines that %s left out%s", l.Process, leftOutOf(l))
	}
	return missing
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

func leftOutOf(l *Line) string {
	text := ""
	for _, key := range l.Keys {
		if key != fieldReason && key != fieldSampled {
			text += fmt.Sprintf(", %s=%s", key, l.Fields[key])
		}
	}
	return text
}

func orUnknown(s string) string {
	if s == "" {
		return "(unknown)"
	}
	return s
}
