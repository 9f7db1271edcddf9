package story

import (
	"time"

	"skylarklane.example/lib/event"
)

// peerFields are the fields that name other processes and workers.
var peerFields = []string{fieldWorker, fieldAgent, fieldEntry, "member", "host"}

// condition is a state that lasts from one event to another.
type condition struct {
	begins *event.Event
	ends   []*event.Event
	// field is the field that names the affected process, worker or dependency;
	// it is empty for the logging process itself.
	field string
	// when selects the lines that begin it; nil selects all.
	when func(*Line) bool
}

// refusesWork reports whether the line says that a worker accepts no new runs.
func refusesWork(l *Line) bool { return l.Fields["accepting"] == "false" }

// conditions are the states that are relevant for requests while they last.
var conditions = []condition{
	{event.AgentLost, []*event.Event{event.AgentRegained, event.AgentRestarted}, fieldAgent, nil},
	{event.WorkerWord, []*event.Event{event.WorkerWord}, fieldAgent, refusesWork},
	{event.WorkerEjected, []*event.Event{event.WorkerReadmitted}, fieldWorker, nil},
	{event.WorkerSilent, []*event.Event{event.WorkerRegained, event.WorkerNewLife}, fieldWorker, nil},
	{event.SessionEnded, []*event.Event{event.SessionStarted}, fieldEntry, nil},
	{event.DependencyLost, []*event.Event{event.DependencyRegained}, "dependency", nil},
	{event.ConfigInForce, []*event.Event{event.ConfigInForce}, "", nil},
}

// selectLines returns the lines of the request and the related ones.
func selectLines(lines []*Line, own map[*Line]bool) []*Line {
	first, last := span(lines, own)
	peers := peersOf(own)
	lasting := conditionsAt(first, lines)
	var chosen []*Line
	for _, l := range lines {
		near := !l.At.Before(first.Add(-relatedBefore)) && !l.At.After(last.Add(relatedAfter))
		if own[l] || (near || lasting[l]) && isRelevant(l, peers) {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

// span returns the times of the request's first and last lines.
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

// peersOf returns the processes and workers that were involved in the request.
func peersOf(own map[*Line]bool) map[string]bool {
	peers := map[string]bool{}
	for l := range own {
		peers[l.Process] = true
		for _, field := range peerFields {
			peers[l.peer(field)] = true
		}
	}
	delete(peers, "")
	return peers
}

// peer returns the process or worker in a field.
func (l *Line) peer(field string) string {
	if field == fieldWorker {
		return l.Worker()
	}
	return l.Fields[field]
}

// isRelevant reports whether a line that doesn't name the request may be
// relevant for it.
func isRelevant(l *Line, peers map[string]bool) bool {
	if l.Job() != "" || !isChangeOrWarning(l) || l.is(event.LinesLeftOut) {
		return false
	}
	return peers[l.Process] || l.Part() == event.PartControl
}

// isChangeOrWarning reports whether a line is of an event other than a success,
// or a warning or error outside the catalogue.
func isChangeOrWarning(l *Line) bool {
	if e := event.Lookup(l.Event); e != nil {
		return e.Class() != event.Success
	}
	return l.Level == "WARN" || l.Level == "ERROR"
}

// conditionsAt returns the lines that began the conditions in effect at t.
func conditionsAt(t time.Time, lines []*Line) map[*Line]bool {
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
			k := key{i, l.Process, l.peer(c.field)}
			switch {
			case l.is(c.begins) && (c.when == nil || c.when(l)):
				latest[k] = l
			case l.is(c.ends...):
				delete(latest, k)
			}
		}
	}
	lasting := map[*Line]bool{}
	for _, l := range latest {
		lasting[l] = true
	}
	return lasting
}
