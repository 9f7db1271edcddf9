package lease

import (
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// renewSession processes a call that renews or opens the session of the
// entry.
func (k *Keeper) renewSession(q *wire.WatchRequest) (*session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	s := k.sessionFor(q.GetEntry())
	now := k.cfg.Clock.Now()
	known := wire.Same(q.GetAgent(), k.cfg.Agent)
	if known {
		s.ackEnds(q.GetEndsSeen(), now)
	}
	until := now + k.cfg.Session
	fresh := known && q.GetRenewUntilMillis() != 0
	if fresh {
		until = min(until, time.Duration(q.GetRenewUntilMillis())*time.Millisecond)
	}
	switch {
	case until <= now:
	case s.alive && fresh:
		s.until = max(s.until, until)
		s.renewedAt = now
	case !s.alive:
		return s, k.openSession(s, until, fresh)
	}
	return s, nil
}

// openSession opens a session. It ends the session of another incarnation of
// the same entry, unless the call may have been delayed on its way since
// before that one.
func (k *Keeper) openSession(s *session, until time.Duration, fresh bool) error {
	rival := k.rival(s)
	switch {
	case rival == nil:
	case s.replaced:
		return twirp.NewError(twirp.FailedPrecondition, "this incarnation of the entry was replaced by another one")
	case !fresh:
		return nil
	default:
		k.closeSession(rival, "entryReplaced")
		rival.replaced = true
	}
	s.alive = true
	s.until = until
	s.renewedAt = k.cfg.Clock.Now()
	k.logSession(event.SessionStarted, s)
	return nil
}

// rival returns the open session of another incarnation of the entry, or nil.
func (k *Keeper) rival(s *session) *session {
	for _, other := range k.sessions {
		if other != s && other.alive && other.entry.GetId() == s.entry.GetId() {
			return other
		}
	}
	return nil
}

// sessionFor returns the session of the entry's incarnation, creating a
// closed one if there is none.
func (k *Keeper) sessionFor(entry *wire.Incarnation) *session {
	key := keyOfEntry(entry)
	s := k.sessions[key]
	if s == nil {
		s = newSession(entry)
		s.until = k.cfg.Clock.Now()
		k.sessions[key] = s
	}
	return s
}
