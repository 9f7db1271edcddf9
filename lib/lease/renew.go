package lease

import (
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// renewSession opens or renews the session of an entry, unless the call names no
// agent. A call is bounded if it says, by the clock of this incarnation of the
// agent, until when it renews the session; only such a call renews an open
// session.
func (m *Manager) renewSession(q *wire.WatchRequest) (*session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	if m.idle { // the last tick may be long ago
		m.refreshState()
	}
	s := m.sessionFor(q.GetEntry())
	now := m.cfg.Clock.Now()
	sameAgent := wire.Same(q.GetAgent(), m.cfg.Agent)
	if sameAgent {
		s.ackEnds(q.GetEndsSeen(), now)
	}
	until := now + m.cfg.Session
	bounded := sameAgent && q.GetRenewUntilMillis() != 0
	if bounded {
		until = min(until, time.Duration(q.GetRenewUntilMillis())*time.Millisecond)
	}
	switch {
	case until <= now, q.GetAgent() == nil:
	case s.alive && bounded:
		s.until = max(s.until, until)
		s.renewedAt = now
	case !s.alive:
		return s, m.openSession(s, until, bounded)
	}
	return s, nil
}

// openSession opens a session and ends that of another incarnation of the same
// entry. A call that isn't bounded may have been sent before the other session
// was opened, so it does not replace that one. An incarnation that was replaced
// can't open a session while the other one has one.
func (m *Manager) openSession(s *session, until time.Duration, bounded bool) error {
	competingSession := m.competingSession(s)
	switch {
	case competingSession == nil:
	case s.replaced:
		return twirp.NewError(twirp.FailedPrecondition, "another incarnation of the entry has replaced this one")
	case !bounded:
		return nil
	default:
		m.closeSession(competingSession, "entryReplaced")
		competingSession.replaced = true
	}
	s.alive = true
	s.until = until
	m.nextExpiry = min(m.nextExpiry, until)
	s.renewedAt = m.cfg.Clock.Now()
	m.logSession(event.SessionStarted, s)
	return nil
}

// competingSession returns the open session of another incarnation of the same
// entry, or nil.
func (m *Manager) competingSession(s *session) *session {
	for _, other := range m.sessions {
		if other != s && other.alive && other.entry.GetId() == s.entry.GetId() {
			return other
		}
	}
	return nil
}

// sessionFor returns the session of the entry's incarnation, creating a
// closed one if there is none.
func (m *Manager) sessionFor(entry *wire.Incarnation) *session {
	key := keyOfEntry(entry)
	s := m.sessions[key]
	if s == nil {
		s = newSession(entry)
		s.until = m.cfg.Clock.Now()
		m.sessions[key] = s
	}
	return s
}
