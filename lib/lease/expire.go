package lease

import (
	"log/slog"
	"math"

	"skylarklane.example/lib/event"
)

// expireSessions closes the expired sessions. It runs before each decision, so
// that a process resumed after a suspension does not act under a session that
// expired meanwhile.
func (m *Manager) expireSessions() {
	m.applyRaise()
	now := m.cfg.Clock.Now()
	if now < m.nextExpiry {
		return
	}
	m.nextExpiry = math.MaxInt64
	for _, s := range m.sessions {
		switch {
		case !s.alive:
		case now >= s.until:
			m.closeSession(s, "sessionEnd")
		default:
			m.nextExpiry = min(m.nextExpiry, s.until)
		}
	}
}

// closeSession ends a session: its runs are stopped, and launches under it
// are refused.
func (m *Manager) closeSession(s *session, reason string) {
	if !s.alive {
		return
	}
	now := m.cfg.Clock.Now()
	s.alive = false
	s.until = min(s.until, now)
	clear(s.claims) // another entry may take the jobs over
	n := 0
	for _, inc := range m.incarnations() {
		for _, r := range inc.queued {
			n += m.haltIfInSession(s, r, reason)
		}
		for _, r := range inc.waiting {
			n += m.haltIfInSession(s, r, reason)
		}
		for _, r := range inc.active {
			n += m.haltIfInSession(s, r, reason)
		}
	}
	m.logSession(event.SessionEnded, s, reasonAttr(reason), slog.Int("running", n), millisAttr("silentMillis", now-s.renewedAt))
}

// haltIfInSession stops r if it belongs to the session, and returns the number
// of runs stopped.
func (m *Manager) haltIfInSession(s *session, r *run, reason string) int {
	if r.session != s {
		return 0
	}
	m.halt(r, reason, s.until+m.cfg.Grace)
	return 1
}

// expireLeases records runs as lost once their lease has certainly expired, or
// once the successor of their incarnation has stopped them.
func (m *Manager) expireLeases() {
	now := m.monotonic()
	if inc := m.incarnation; inc != nil && m.isSilent(inc) && now > inc.maxLeaseUntil && len(inc.active)+len(inc.waiting) > 0 {
		m.markRunsLost(inc, "workerSilent")
	}
	kept := m.retired[:0]
	for _, inc := range m.retired {
		if now > inc.maxLeaseUntil || inc.successor != nil && inc.successor.cleared && len(inc.successor.orphans) == 0 {
			m.markRunsLost(inc, "workerReplaced")
			continue
		}
		kept = append(kept, inc)
	}
	clear(m.retired[len(kept):])
	m.retired = kept
}

// logSilence logs, once, that the worker has stopped answering.
func (m *Manager) logSilence() {
	inc := m.incarnation
	if inc == nil || inc.silenceLogged || !m.isSilent(inc) {
		return
	}
	inc.silenceLogged = true
	now := m.monotonic()
	m.logIncarnation(event.WorkerSilent, inc, millisAttr("silentMillis", now-inc.repliedAt),
		slog.Int("running", len(inc.active)), millisAttr("leaseLeftMillis", max(inc.maxLeaseUntil-now, 0)))
}

// evict drops sessions, launch records, epochs and run numbers whose retention
// is over.
func (m *Manager) evict() {
	now := m.cfg.Clock.Now()
	for key, s := range m.sessions {
		s.evict(now - 2*m.cfg.Session)
		if !s.alive && now > s.until+sessionRetention {
			delete(m.sessions, key)
		}
	}
	m.evictEpochs(now)
	if m.incarnation != nil {
		m.incarnation.evictRunNumbers(m.monotonic() - runNumberRetention)
	}
}
