package lease

import (
	"log/slog"

	"skylarklane.example/lib/event"
)

// expire ends the sessions whose time is over. Each decision comes after it, so
// that a process that was suspended finds out before it acts.
func (k *Keeper) expire() {
	now := k.cfg.Clock.Now()
	for _, s := range k.sessions {
		if s.alive && now >= s.until {
			k.close(s, "sessionEnd")
		}
	}
}

// close ends a session: its runs are stopped, launches under it are refused.
func (k *Keeper) close(s *session, reason string) {
	if !s.alive {
		return
	}
	now := k.cfg.Clock.Now()
	s.alive = false
	s.until = min(s.until, now)
	n := 0
	for _, l := range k.lives() {
		for _, r := range l.waiting {
			n += k.haltOf(s, r, reason)
		}
		for _, r := range l.active {
			n += k.haltOf(s, r, reason)
		}
	}
	k.tellSession(event.SessionEnded, s, reasonAttr(reason), slog.Int("running", n), millisAttr("silentMillis", now-s.renewedAt))
}

func (k *Keeper) haltOf(s *session, r *run, reason string) int {
	if r.session != s {
		return 0
	}
	k.halt(r, reason, s.until+k.cfg.Grace)
	return 1
}

// lapse ends the runs that are surely gone with their lease.
func (k *Keeper) lapse() {
	now := k.steady()
	if l := k.life; l != nil && k.silent(l) && now > l.goneAt && len(l.active)+len(l.waiting) > 0 {
		k.lose(l, "workerSilent")
	}
	kept := k.retired[:0]
	for _, l := range k.retired {
		if now > l.goneAt || l.heir != nil && l.heir.cleared && len(l.heir.strays) == 0 {
			k.lose(l, "workerReplaced")
			continue
		}
		kept = append(kept, l)
	}
	clear(k.retired[len(kept):])
	k.retired = kept
}

// hush tells of a worker that has fallen silent.
func (k *Keeper) hush() {
	l := k.life
	if l == nil || l.quiet || !k.silent(l) {
		return
	}
	l.quiet = true
	now := k.steady()
	k.tellLife(event.WorkerSilent, l, millisAttr("silentMillis", now-l.repliedAt),
		slog.Int("running", len(l.active)), millisAttr("leaseLeftMillis", max(l.goneAt-now, 0)))
}

// forget drops what is too old to matter.
func (k *Keeper) forget() {
	now := k.cfg.Clock.Now()
	for key, s := range k.sessions {
		s.forget(now - 2*k.cfg.Session)
		if !s.alive && now > s.until+sessionMemory {
			delete(k.sessions, key)
		}
	}
	k.forgetEpochs(now)
	if k.life != nil {
		k.life.forgetNumbers(k.steady() - numberMemory)
	}
}
