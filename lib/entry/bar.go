package entry

import (
	"time"

	tasks "skylarklane.example/lib/task"
)

// bar notes that an agent starts the task no more.
func (t *task) bar(a *agent) {
	if t.barred == nil {
		t.barred = map[*agent]bool{}
	}
	t.barred[a] = true
}

// barredEverywhere tells whether no agent that serves the task may start it.
func (d *dispatcher) barredEverywhere(t *task) bool {
	if len(t.barred) == 0 {
		return false
	}
	for _, p := range d.places(t.run.desk.service) {
		if !t.barred[p.agent] {
			return false
		}
	}
	return true
}

// elsewhere exchanges a token for one whose agent may start the task; nil
// where none is idle.
func (p *pool) elsewhere(t *task, h *held, now time.Time) *held {
	var passed []*held
	for h != nil && t.barred[h.server.agent] {
		passed = append(passed, h)
		h = p.fastest(now)
	}
	for _, other := range passed {
		p.put(other)
	}
	return h
}

// passing tells whether an agent that refused a start for that reason may take
// it soon.
func passing(reason string) bool {
	switch reason {
	case tasks.ReasonNotCurrent, tasks.ReasonUnknownCoordinator, "noLease", "coordinatorNotMember":
		return true
	}
	return false
}

// barring tells whether the reason says that the task can't start at its agent
// any more.
func barring(reason string) bool { return reason == tasks.ReasonBarred }
