package lease

import (
	"context"

	"skylarklane.example/lib/wire"
)

// claim is a call that claims a job for the entry of a session. granted is set when
// decided is closed.
type claim struct {
	decided chan struct{}
	granted bool
}

// claimJob claims the job of a run for its entry, unless that has done so, and reports
// whether no other entry has the job.
func (m *Manager) claimJob(r *run) bool {
	if r.claimant == nil || m.cfg.Claim == nil {
		return true
	}
	job := jobOf(r.key.task)
	ctx, c, isOpen := m.beginClaim(r.session, job)
	if !isOpen {
		began := m.cfg.Clock.Now()
		c.granted = m.cfg.Claim(ctx, job, r.claimant)
		m.metrics.recordClaim(c.granted, m.cfg.Clock.Now()-began)
		m.endClaim(r.session, job, c)
	}
	<-c.decided
	return c.granted
}

// beginClaim returns the open claim to a job, or begins one.
func (m *Manager) beginClaim(s *session, job string) (ctx context.Context, c *claim, isOpen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c = s.claims[job]; c != nil {
		return m.ctx, c, true
	}
	c = &claim{decided: make(chan struct{})}
	s.claims[job] = c
	return m.ctx, c, false
}

func (m *Manager) endClaim(s *session, job string, c *claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(s.claims, job)
	close(c.decided)
}

// abandonClaimed ends a run that was not started, as another entry has its job.
func (m *Manager) abandonClaimed(r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.phase == accepted {
		m.abandonStart(r, wire.ReasonClaimed)
	}
}

// hasOtherEntry reports whether a run of a task that goes on, or waits for capacity, is
// of the session of another entry.
func (inc *incarnation) hasOtherEntry(s *session, task string) bool {
	isOther := func(r *run) bool {
		return r != nil && r.key.task == task && r.session != s && r.session.alive && r.phase < stopping
	}
	if isOther(inc.active[task]) || isOther(inc.waiting[task]) {
		return true
	}
	for _, r := range inc.queued {
		if isOther(r) {
			return true
		}
	}
	return false
}
