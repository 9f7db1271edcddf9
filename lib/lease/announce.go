package lease

import (
	"context"
	"log/slog"
	"slices"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Announce processes an announcement of the worker. Announcements that arrive
// out of order are ignored without an error. Once it has returned for a
// draining worker, no more starts are sent to it.
func (k *Keeper) Announce(a Announcement) error {
	if err := a.check(); err != nil {
		k.metrics.announcements.Inc("malformed")
		k.logEvent(event.AnnouncementRefused, slog.String("worker", a.ID), reasonAttr("malformed"), slog.String("error", err.Error()))
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	switch {
	case k.incarnation == nil:
		k.activate(a)
	case a.IncarnationName() == k.incarnation.name:
		k.update(k.incarnation, a)
	case k.isNewer(a):
		k.replace(a)
	default:
		k.rejected = &a
		k.incarnation.requestHold()
		k.metrics.announcements.Inc("formerLife")
		k.logEvent(event.AnnouncementRefused, slog.String("worker", a.ID), slog.Int64("life", a.Born), reasonAttr("formerLife"))
	}
	k.refreshState()
	return nil
}

// Leave records that the worker with this id is shutting down.
func (k *Keeper) Leave(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.incarnation == nil || k.incarnation.announcement.ID != id {
		return
	}
	k.incarnation.departed = true
	k.refreshState()
}

// isNewer reports whether a belongs to a later incarnation than the current
// one. Once the worker has answered calls as another incarnation, the current
// one has ended regardless of the start times announced, because the time of
// day may have jumped.
func (k *Keeper) isNewer(a Announcement) bool {
	if slices.Contains(k.retiredNames, a.IncarnationName()) {
		return false
	}
	return k.incarnation.mismatched || a.Born > k.incarnation.announcement.Born
}

func (k *Keeper) update(l *incarnation, a Announcement) {
	if a.Sequence <= l.announcement.Sequence {
		k.metrics.announcements.Inc("late")
		return
	}
	if a.Address != l.announcement.Address {
		l.worker = k.dial(a)
	}
	l.announcement = a
	l.departed = false
	l.unannounced = false
	l.mismatched = false
	l.updateClock(a.ClockMillis, k.monotonic())
}

func (k *Keeper) activate(a Announcement) {
	l := newIncarnation(a, k.dial(a), k.monotonic())
	k.incarnation = l
	k.rejected = nil
	k.logIncarnation(event.WorkerCame, l, slog.String("service", a.Service), slog.String("address", a.Address),
		resourcesAttr("free", a.capacity()), slog.Any("labels", a.Labels))
	if k.ctx != nil {
		k.startLoops(l)
	}
}

// replace retires the current incarnation in favour of the one that a
// announces.
func (k *Keeper) replace(a Announcement) {
	old := k.incarnation
	old.retired = true
	k.retiredNames = append(k.retiredNames, old.name)
	if len(k.retiredNames) > maxRetiredNames {
		k.retiredNames = k.retiredNames[1:]
	}
	if old.cancel != nil {
		old.cancel()
	}
	k.activate(a)
	k.logIncarnation(event.WorkerNewLife, k.incarnation, slog.Int("lost", len(old.active)))
	k.dropUnsent(old, "workerReplaced")
	switch {
	case a.ID == old.announcement.ID:
		k.transferRuns(old)
	case a.Address == old.announcement.Address:
		k.loseRuns(old, "workerReplaced")
	default:
		k.retired = append(k.retired, old)
	}
}

// transferRuns registers the runs of old as orphans at its successor under
// the same id, because a worker can't tell apart orders for the two. The runs
// count as lost once the successor is cleared.
func (k *Keeper) transferRuns(old *incarnation) {
	old.successor = k.incarnation
	k.retired = append(k.retired, old)
	for _, r := range old.active {
		if r.atWorker() {
			k.addOrphan(k.incarnation, Running{Task: r.key.task, Run: r.number})
		}
	}
	for run := range old.orphans {
		k.addOrphan(k.incarnation, run)
	}
}

// startLoops starts the goroutines that serve an incarnation.
func (k *Keeper) startLoops(l *incarnation) {
	l.ctx, l.cancel = context.WithCancel(k.ctx)
	l.repliedAt = k.monotonic()
	l.ackedHoldSentAt = l.repliedAt
	k.spawn((&poller{k, l}).loop)
	k.spawn((&prober{k, l}).loop)
	for _, s := range l.orphans {
		k.spawn(s.run)
	}
}

// replaceFromReport replaces an incarnation by the one that has answered in
// its place under the same id. The new one accepts runs only after it has
// announced itself.
func (k *Keeper) replaceFromReport(l *incarnation, report Report) {
	a := l.announcement
	a.Born = report.Born
	a.ClockMillis = report.ClockMillis
	a.Sequence = 0
	k.markMismatched(l)
	if l != k.incarnation || slices.Contains(k.retiredNames, a.IncarnationName()) {
		return
	}
	k.replace(a)
	k.incarnation.unannounced = true
}

// loseRuns ends all runs of an incarnation that has certainly ended.
func (k *Keeper) loseRuns(l *incarnation, reason string) {
	k.dropUnsent(l, reason)
	for _, r := range l.active {
		k.end(r, wire.RunHow_RUN_HOW_LOST, reason)
	}
}

// dropUnsent ends the runs for which no start was sent.
func (k *Keeper) dropUnsent(l *incarnation, reason string) {
	for _, r := range l.waiting {
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	for _, r := range l.active {
		if r.phase == accepted {
			k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
		}
	}
}
