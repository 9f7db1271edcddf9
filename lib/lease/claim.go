package lease

import (
	"context"

	"skylarklane.example/lib/wire"
)

// claim is the claim of a session's entry to a job that has runs here. granted is set
// when decided is closed.
type claim struct {
	job     string
	decided chan struct{}
	granted bool
	// runs counts the runs that have not ended, and release is called with the last.
	runs    int
	release context.CancelFunc
}

// wait returns whether no other entry has the job, once that is decided.
func (c *claim) wait() bool {
	if c == nil {
		return true
	}
	<-c.decided
	return c.granted
}

// claimJob begins to claim the job of a run for its entry, unless other runs of the job
// hold the claim. Runs that wait for capacity claim their job meanwhile.
func (m *Manager) claimJob(r *run, claimant *wire.Member) {
	if claimant == nil || m.cfg.Claim == nil || m.ctx == nil {
		return
	}
	job := jobOf(r.key.task)
	c := r.session.claims[job]
	if c == nil {
		c = &claim{job: job, decided: make(chan struct{})}
		r.session.claims[job] = c
		var ctx context.Context
		ctx, c.release = context.WithCancel(m.ctx)
		m.spawn(func() { m.decideClaim(ctx, c, claimant) })
	}
	c.runs++
	r.claim = c
}

// decideClaim claims a job, and ends its queued runs if another entry has it.
func (m *Manager) decideClaim(ctx context.Context, c *claim, claimant *wire.Member) {
	began := m.cfg.Clock.Now()
	c.granted = m.cfg.Claim(ctx, c.job, claimant)
	m.metrics.recordClaim(c.granted, m.cfg.Clock.Now()-began)
	close(c.decided)
	if c.granted {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, inc := range m.incarnations() {
		for _, r := range inc.queued {
			if r.claim == c {
				m.abandonStart(r, wire.ReasonClaimed)
			}
		}
	}
}

// releaseClaim ends the claim of a run that has ended, unless other runs hold it.
func (r *run) releaseClaim() {
	c := r.claim
	if c == nil {
		return
	}
	r.claim = nil
	if c.runs--; c.runs > 0 {
		return
	}
	c.release()
	if r.session.claims[c.job] == c {
		delete(r.session.claims, c.job)
	}
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
