package lease

import (
	"log/slog"

	"skylarklane.example/lib/event"
)

// expireSessions closes the expired sessions. It runs before each decision, so
// that a process resumed after a suspension does not act under a session that
// expired meanwhile.
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
	for _, inc := range k.incarnations() {
		for _, r := range inc.waiting {
			n += k.haltIfInSession(s, r, reason)
		}
		for _, r := range inc.active {
			n += k.haltIfInSession(s, r, reason)
		}
	}
	k.logSession(event.SessionEnded, s, reasonAttr(reason), slog.Int("running", n), millisAttr("silentMillis", now-s.renewedAt))
}

// haltIfInSession stops r if it belongs to the session, and returns the number
// of runs stopped.
func (k *Keeper) haltIfInSession(s *session, r *run, reason string) int {
	if r.session != s {
		return 0
	}
	k.halt(r, reason, s.until+k.cfg.Grace)
	return 1
}

// expireLeases records runs as lost once their lease has certainly expired, or
// once the successor of their incarnation has stopped them.
func (k *Keeper) expireLeases() {
	now := k.monotonic()
	if inc := k.incarnation; inc != nil && k.isSilent(inc) && now > inc.maxLeaseUntil && len(inc.active)+len(inc.waiting) > 0 {
		k.markRunsLost(inc, "workerSilent")
	}
	kept := k.retired[:0]
	for _, inc := range k.retired {
		if now > inc.maxLeaseUntil || inc.successor != nil && inc.successor.cleared && len(inc.successor.orphans) == 0 {
			k.markRunsLost(inc, "workerReplaced")
			continue
		}
		kept = append(kept, inc)
	}
	clear(k.retired[len(kept):])
	k.retired = kept
}

// logSilence logs, once, that the worker has stopped answering.
func (k *Keeper) logSilence() {
	inc := k.incarnation
	if inc == nil || inc.silenceLogged || !k.isSilent(inc) {
		return
	}
	inc.silenceLogged = true
	now := k.monotonic()
	k.logIncarnation(event.WorkerSilent, inc, millisAttr("silentMillis", now-inc.repliedAt),
		slog.Int("running", len(inc.active)), millisAttr("leaseLeftMillis", max(inc.maxLeaseUntil-now, 0)))
}

// evict drops sessions, launch records, epochs and run numbers whose retention
// is over.
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
