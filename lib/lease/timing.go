package lease

import "time"

// raiseDelay is how long a longer session or grace waits. Entries reckon with
// theirs at once, so that none takes a run for ended that may still be allowed to
// run.
const raiseDelay = 3 * time.Second

// Timing holds the fields of a Config that may change while the manager runs.
type Timing struct {
	Session, Grace, LeaseMax time.Duration
}

// SetTiming changes the times of all sessions and leases that are granted from now
// on. Shorter ones apply at once, longer ones after raiseDelay. Waits for the
// longest lease of a worker are never shortened.
func (m *Manager) SetTiming(t Timing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyRaise()
	m.raised = Timing{
		Session:  orDefault(t.Session, DefaultSession),
		Grace:    orDefault(t.Grace, DefaultGrace),
		LeaseMax: orDefault(t.LeaseMax, DefaultLeaseMax),
	}
	m.raiseAt = m.monotonic() + raiseDelay
	m.cfg.Session = min(m.cfg.Session, m.raised.Session)
	m.cfg.Grace = min(m.cfg.Grace, m.raised.Grace)
	m.cfg.LeaseMax = max(m.cfg.LeaseMax, m.raised.LeaseMax)
	m.cfg.Lease = min(m.lease, m.raised.LeaseMax)
}

// applyRaise puts longer times into force once their delay is over.
func (m *Manager) applyRaise() {
	if m.raiseAt == 0 || m.monotonic() < m.raiseAt {
		return
	}
	m.raiseAt = 0
	m.cfg.Session, m.cfg.Grace = m.raised.Session, m.raised.Grace
}

// maxWatch returns how long a Watch may wait.
func (m *Manager) maxWatch() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cfg.Session / 2
}
