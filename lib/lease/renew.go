package lease

import (
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// renew takes in a call that renews the session of the entry, or opens it.
func (k *Keeper) renew(q *wire.WatchRequest) (*session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	s := k.enter(q.GetEntry())
	now := k.cfg.Clock.Now()
	known := wire.Same(q.GetAgent(), k.cfg.Agent)
	if known {
		s.seen(q.GetEndsSeen(), now)
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
		return s, k.open(s, until, fresh)
	}
	return s, nil
}

// open opens a session. One of another incarnation of the same entry ends with
// it, but for a call that may have waited on its way since before.
func (k *Keeper) open(s *session, until time.Duration, fresh bool) error {
	rival := k.rival(s)
	switch {
	case rival == nil:
	case s.replaced:
		return twirp.NewError(twirp.FailedPrecondition, "an incarnation that was replaced")
	case !fresh:
		return nil
	default:
		k.close(rival, "entryReplaced")
		rival.replaced = true
	}
	s.alive = true
	s.until = until
	s.renewedAt = k.cfg.Clock.Now()
	k.tellSession(event.SessionStarted, s)
	return nil
}

// rival is the open session of another incarnation of the entry, nil if there
// is none.
func (k *Keeper) rival(s *session) *session {
	for _, other := range k.sessions {
		if other != s && other.alive && other.entry.GetId() == s.entry.GetId() {
			return other
		}
	}
	return nil
}

// enter returns the session of the entry's incarnation, open or not.
func (k *Keeper) enter(entry *wire.Incarnation) *session {
	key := keyOfEntry(entry)
	s := k.sessions[key]
	if s == nil {
		s = newSession(entry)
		s.until = k.cfg.Clock.Now()
		k.sessions[key] = s
	}
	return s
}
