package story

import (
	"time"

	"skylarklane.example/lib/event"
)

// peerFields name other processes and workers.
var peerFields = []string{fieldWorker, fieldAgent, fieldEntry, "member", "host"}

// condition is something that lasts from one event to another.
type condition struct {
	begins *event.Event
	ends   []*event.Event
	// field names whom it is about, empty for the process itself.
	field string
	// when tells which lines begin it; nil is all.
	when func(*Line) bool
}

// refusesWork tells whether the line says that a worker takes no new runs.
func refusesWork(l *Line) bool { return l.Fields["accepting"] == "false" }

// conditions that bear on requests as long as they last.
var conditions = []condition{
	{event.AgentLost, []*event.Event{event.AgentRegained, event.AgentRestarted}, fieldAgent, nil},
	{event.WorkerWord, []*event.Event{event.WorkerWord}, fieldAgent, refusesWork},
	{event.WorkerEjected, []*event.Event{event.WorkerReadmitted}, fieldWorker, nil},
	{event.WorkerSilent, []*event.Event{event.WorkerRegained, event.WorkerNewLife}, fieldWorker, nil},
	{event.SessionEnded, []*event.Event{event.SessionStarted}, fieldEntry, nil},
	{event.DependencyLost, []*event.Event{event.DependencyRegained}, "dependency", nil},
	{event.ConfigInForce, []*event.Event{event.ConfigInForce}, "", nil},
}

// selectLines returns the lines of the request and those that bear on it.
func selectLines(lines []*Line, own map[*Line]bool) []*Line {
	first, last := span(lines, own)
	peers := peersOf(own)
	standing := standingAt(first, lines)
	var chosen []*Line
	for _, l := range lines {
		near := !l.At.Before(first.Add(-before)) && !l.At.After(last.Add(after))
		if own[l] || (near || standing[l]) && bears(l, peers) {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// span returns when the first and the last of the request's lines were logged.
func span(lines []*Line, own map[*Line]bool) (first, last time.Time) {
	for _, l := range lines {
		if !own[l] {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
	}
	return first, last
}

// peersOf returns the processes and workers that the request met.
func peersOf(own map[*Line]bool) map[string]bool {
	peers := map[string]bool{}
	for l := range own {
		peers[l.Process] = true
		for _, field := range peerFields {
			peers[l.named(field)] = true
		}
	}
	delete(peers, "")
	return peers
}

// named returns the process or worker that a field names.
func (l *Line) named(field string) string {
	if field == fieldWorker {
		return l.Worker()
	}
	return l.Fields[field]
}

// bears tells whether a line that doesn't name the request may matter to it.
func bears(l *Line, peers map[string]bool) bool {
	if l.Job() != "" || !tellsChange(l) || l.is(event.LinesLeftOut) {
		return false
	}
	return peers[l.Process] || l.Part() == event.PartControl
}

// tellsChange tells whether a line says what a process believes, or warns.
func tellsChange(l *Line) bool {
	if e := event.Lookup(l.Event); e != nil {
		return e.Class() != event.Success
	}
	return l.Level == "WARN" || l.Level == "ERROR"
}

// standingAt returns the lines of conditions that had begun and not ended at t.
func standingAt(t time.Time, lines []*Line) map[*Line]bool {
	type key struct {
		condition int
		process   string
		about     string
	}
	latest := map[key]*Line{}
	for _, l := range lines {
		if l.At.After(t) {
			break
		}
		for i, c := range conditions {
			k := key{i, l.Process, l.named(c.field)}
			switch {
			case l.is(c.begins) && (c.when == nil || c.when(l)):
				latest[k] = l
			case l.is(c.ends...):
				delete(latest, k)
			}
		}
	}
	standing := map[*Line]bool{}
	for _, l := range latest {
		standing[l] = true
	}
	return standing
}
