package lease

import (
	"context"
	"slices"

	"skylarklane.example/lib/wire"
)

// Announce takes in what the worker says of itself. Late announcements are
// ignored without an error. Once it has returned, a worker that drains is sent
// no more starts.
func (k *Keeper) Announce(a Announcement) error {
	if err := a.check(); err != nil {
		k.metrics.count("announcements", "malformed")
		k.log.Warn("announcement refused", "worker", a.ID, "err", err)
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	switch {
	case k.life == nil:
		k.adopt(a)
	case a.LifeName() == k.life.name:
		k.update(k.life, a)
	case k.replaces(a):
		k.replace(a)
	default:
		k.doubted = &a
		k.life.ask()
		k.metrics.count("announcements", "late")
		k.log.Info("announcement of an earlier life ignored", "worker", a.LifeName(), "current", k.life.name)
	}
	k.changed()
	return nil
}

// Leave takes in that the worker named id ends.
func (k *Keeper) Leave(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.life == nil || k.life.said.ID != id {
		return
	}
	k.life.left = true
	k.log.Info("worker leaves", "worker", k.life.name, "runs", k.left())
	k.changed()
}

// replaces tells whether a is of a life after the current one. A life whose
// worker answers for another one is over, whatever the time of day was.
func (k *Keeper) replaces(a Announcement) bool {
	if slices.Contains(k.dead, a.LifeName()) {
		return false
	}
	return k.life.refused || a.Born > k.life.said.Born
}

func (k *Keeper) update(l *life, a Announcement) {
	if a.Sequence <= l.said.Sequence {
		k.metrics.count("announcements", "late")
		return
	}
	if a.Address != l.said.Address {
		l.worker = k.dial(a)
	}
	if a.Draining != l.said.Draining {
		k.log.Info("worker drains", "worker", l.name, "draining", a.Draining, "runs", k.left())
	}
	l.said = a
	l.left = false
	l.refused = false
	l.readClock(a.ClockMillis, k.steady())
}

func (k *Keeper) adopt(a Announcement) {
	l := newLife(a, k.dial(a), k.steady())
	k.life = l
	k.doubted = nil
	k.log.Info("worker announced", "worker", l.name, "service", a.Service, "address", a.Address)
	if k.ctx != nil {
		k.keep(l)
	}
}

// replace retires the current life for the one that a announces.
func (k *Keeper) replace(a Announcement) {
	old := k.life
	old.retired = true
	k.dead = append(k.dead, old.name)
	if len(k.dead) > livesRemembered {
		k.dead = k.dead[1:]
	}
	if old.cancel != nil {
		old.cancel()
	}
	k.adopt(a)
	k.log.Info("worker replaced", "worker", k.life.name, "former", old.name, "runs", len(old.active))
	k.loseUnsent(old, "workerReplaced")
	switch {
	case a.ID == old.said.ID:
		k.inherit(old)
	case a.Address == old.said.Address:
		k.lose(old, "workerReplaced")
	default:
		k.retired = append(k.retired, old)
	}
}

// inherit bars the runs of old at its successor under the same id: a worker
// can't tell apart orders for the two. The runs are lost once it is cleared.
func (k *Keeper) inherit(old *life) {
	old.heir = k.life
	old.leaseUntil = max(old.leaseUntil, k.steady()+scaled(k.cfg.LeaseMax))
	k.retired = append(k.retired, old)
	for _, r := range old.active {
		if r.atWorker() {
			k.addStray(k.life, Running{Task: r.key.task, Run: r.number})
		}
	}
	for run := range old.strays {
		k.addStray(k.life, run)
	}
}

// keep starts the loops of a life.
func (k *Keeper) keep(l *life) {
	l.ctx, l.cancel = context.WithCancel(k.ctx)
	l.repliedAt = k.steady()
	l.heldAt = l.repliedAt
	k.spawn((&poller{k, l}).loop)
	k.spawn((&pulser{k, l}).loop)
	for _, s := range l.strays {
		k.spawn(s.run)
	}
}

// lose ends all runs of a life that is surely over.
func (k *Keeper) lose(l *life, reason string) {
	k.loseUnsent(l, reason)
	for _, r := range l.active {
		k.end(r, wire.RunHow_RUN_HOW_LOST, reason)
	}
}

// loseUnsent ends the runs of which no start was sent.
func (k *Keeper) loseUnsent(l *life, reason string) {
	for _, r := range l.waiting {
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	for _, r := range l.active {
		if r.phase == accepted {
			k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
		}
	}
}
