package entry

import (
	"time"

	tasks "skylarklane.example/lib/task"
)

// addBarred records that the agent has barred the task: it will never start it.
func (t *task) addBarred(a *agent) {
	if t.barred == nil {
		t.barred = map[*agent]bool{}
	}
	t.barred[a] = true
}

// barredByAllAgents reports whether every agent of the service has barred the
// task.
func (d *dispatcher) barredByAllAgents(t *task) bool {
	if len(t.barred) == 0 {
		return false
	}
	for _, c := range d.candidates(t.run.serviceState.service) {
		if !t.barred[c.agent] {
			return false
		}
	}
	return true
}

// replaceBarred returns token h unless its agent has barred the task. Otherwise
// it puts h back and takes the token of another agent; nil if none is idle.
func (p *pool) replaceBarred(t *task, h *held, now time.Time) *held {
	var skipped []*held
	for h != nil && t.barred[h.server.agent] {
		skipped = append(skipped, h)
		h = p.takeFastest(now)
	}
	for _, other := range skipped {
		p.put(other)
	}
	return h
}

// isTransientRefusal reports whether an agent that refused a start for this
// reason may accept one soon.
func isTransientRefusal(reason string) bool {
	switch reason {
	case tasks.ReasonNotCurrent, tasks.ReasonUnknownCoordinator, "noLease", "coordinatorNotMember":
		return true
	}
	return false
}

// isBarredRefusal reports whether the agent has barred the task and will never
// start it.
func isBarredRefusal(reason string) bool { return reason == tasks.ReasonBarred }
