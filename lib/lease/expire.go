package lease

import (
	"log/slog"

	"skylarklane.example/lib/event"
)

// expireSessions closes the sessions whose time is over. It runs before each
// decision, so that a process that was suspended notices before it acts.
func (k *Keeper) expireSessions() {
	now := k.cfg.Clock.Now()
	for _, s := range k.sessions {
		if s.alive && now >= s.until {
			k.closeSession(s, "sessionEnd")
		}
	}
}

// closeSession ends a session: its runs are stopped, and launches under it
// are refused.
func (k *Keeper) closeSession(s *session, reason string) {
	if !s.alive {
		return
	}
	now := k.cfg.Clock.Now()
	s.alive = false
	s.until = min(s.until, now)
	n := 0
	for _, l := range k.incarnations() {
		for _, r := range l.waiting {
			n += k.haltIfOf(s, r, reason)
		}
		for _, r := range l.active {
			n += k.haltIfOf(s, r, reason)
		}
	}
	k.logSession(event.SessionEnded, s, reasonAttr(reason), slog.Int("running", n), millisAttr("silentMillis", now-s.renewedAt))
}

// haltIfOf halts r if it belongs to the session, and returns the number of
// runs halted.
func (k *Keeper) haltIfOf(s *session, r *run, reason string) int {
	if r.session != s {
		return 0
	}
	k.halt(r, reason, s.until+k.cfg.Grace)
	return 1
}

// expireLeases ends the runs that have certainly ended because their lease
// has expired.
func (k *Keeper) expireLeases() {
	now := k.monotonic()
	if l := k.incarnation; l != nil && k.isSilent(l) && now > l.maxLeaseUntil && len(l.active)+len(l.waiting) > 0 {
		k.loseRuns(l, "workerSilent")
	}
	kept := k.retired[:0]
	for _, l := range k.retired {
		if now > l.maxLeaseUntil || l.successor != nil && l.successor.cleared && len(l.successor.orphans) == 0 {
			k.loseRuns(l, "workerReplaced")
			continue
		}
		kept = append(kept, l)
	}
	clear(k.retired[len(kept):])
	k.retired = kept
}

// logSilence logs, once, that the worker has stopped answering.
func (k *Keeper) logSilence() {
	l := k.incarnation
	if l == nil || l.silenceLogged || !k.isSilent(l) {
		return
	}
	l.silenceLogged = true
	now := k.monotonic()
	k.logIncarnation(event.WorkerSilent, l, millisAttr("silentMillis", now-l.repliedAt),
		slog.Int("running", len(l.active)), millisAttr("leaseLeftMillis", max(l.maxLeaseUntil-now, 0)))
}

// evict drops expired sessions, records, epochs and run numbers.
func (k *Keeper) evict() {
	now := k.cfg.Clock.Now()
	for key, s := range k.sessions {
		s.evict(now - 2*k.cfg.Session)
		if !s.alive && now > s.until+sessionRetention {
			delete(k.sessions, key)
		}
	}
	k.evictEpochs(now)
	if k.incarnation != nil {
		k.incarnation.evictRunNumbers(k.monotonic() - runNumberRetention)
	}
}
