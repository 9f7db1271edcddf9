package lease

import (
	"context"
	"log/slog"
	"slices"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Announce takes in what the worker says of itself. Late announcements are
// ignored without an error. Once it has returned, a worker that drains is sent
// no more starts.
func (k *Keeper) Announce(a Announcement) error {
	if err := a.check(); err != nil {
		k.metrics.announcements.Inc("malformed")
		k.tell(event.AnnouncementRefused, slog.String("worker", a.ID), reasonAttr("malformed"), slog.String("error", err.Error()))
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
		k.metrics.announcements.Inc("formerLife")
		k.tell(event.AnnouncementRefused, slog.String("worker", a.ID), slog.Int64("life", a.Born), reasonAttr("formerLife"))
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
		k.metrics.announcements.Inc("late")
		return
	}
	if a.Address != l.said.Address {
		l.worker = k.dial(a)
	}
	l.said = a
	l.left = false
	l.unannounced = false
	l.refused = false
	l.readClock(a.ClockMillis, k.steady())
}

func (k *Keeper) adopt(a Announcement) {
	l := newLife(a, k.dial(a), k.steady())
	k.life = l
	k.doubted = nil
	k.tellLife(event.WorkerCame, l, slog.String("service", a.Service), slog.String("address", a.Address),
		amountAttr("free", a.capacity()), slog.Any("labels", a.Labels))
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
	k.tellLife(event.WorkerNewLife, k.life, slog.Int("lost", len(old.active)))
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

// discover replaces a life by the one that has answered in its place under the
// same id. It takes new runs once it has announced what it is.
func (k *Keeper) discover(l *life, report Report) {
	a := l.said
	a.Born = report.Born
	a.ClockMillis = report.ClockMillis
	a.Sequence = 0
	k.refuseLife(l)
	if l != k.life || slices.Contains(k.dead, a.LifeName()) {
		return
	}
	k.replace(a)
	k.life.unannounced = true
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
