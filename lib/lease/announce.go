package lease

import (
	"context"
	"log/slog"
	"slices"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Announce processes an announcement of the worker. An announcement older than
// one already processed is ignored without an error. Once Announce has returned
// for a draining worker, no more starts are sent to that worker.
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
// one has ended even if a announces an earlier start time, because the time of
// day may have been set back.
func (k *Keeper) isNewer(a Announcement) bool {
	if slices.Contains(k.retiredNames, a.IncarnationName()) {
		return false
	}
	return k.incarnation.mismatched || a.Born > k.incarnation.announcement.Born
}

func (k *Keeper) update(inc *incarnation, a Announcement) {
	if a.Sequence <= inc.announcement.Sequence {
		k.metrics.announcements.Inc("late")
		return
	}
	if a.Address != inc.announcement.Address {
		inc.worker = k.dial(a)
	}
	inc.announcement = a
	inc.departed = false
	inc.unannounced = false
	inc.mismatched = false
	inc.updateClock(a.ClockMillis, k.monotonic())
}

func (k *Keeper) activate(a Announcement) {
	inc := newIncarnation(a, k.dial(a), k.monotonic())
	k.incarnation = inc
	k.rejected = nil
	k.logIncarnation(event.WorkerCame, inc, slog.String("service", a.Service), slog.String("address", a.Address),
		resourcesAttr("free", a.capacity()), slog.Any("labels", a.Labels))
	if k.ctx != nil {
		k.startLoops(inc)
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
		k.markRunsLost(old, "workerReplaced")
	default:
		k.retired = append(k.retired, old)
	}
}

// transferRuns registers the runs of old as orphans of its successor. Both have
// the same worker id, so the successor may have accepted orders that were meant
// for old. The runs count as lost once the successor is cleared.
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

// startLoops starts the goroutines that extend the lease of an incarnation and
// stop its orphans.
func (k *Keeper) startLoops(inc *incarnation) {
	inc.ctx, inc.cancel = context.WithCancel(k.ctx)
	inc.repliedAt = k.monotonic()
	inc.ackedHoldSentAt = inc.repliedAt
	k.spawn((&poller{k, inc}).loop)
	k.spawn((&prober{k, inc}).loop)
	for _, o := range inc.orphans {
		k.spawn(o.run)
	}
}

// replaceFromReport replaces an incarnation by the one that has answered in
// its place under the same id. The new one accepts runs only after it has
// announced itself.
func (k *Keeper) replaceFromReport(inc *incarnation, report Report) {
	a := inc.announcement
	a.Born = report.Born
	a.ClockMillis = report.ClockMillis
	a.Sequence = 0
	k.markMismatched(inc)
	if inc != k.incarnation || slices.Contains(k.retiredNames, a.IncarnationName()) {
		return
	}
	k.replace(a)
	k.incarnation.unannounced = true
}

// markRunsLost ends all runs of an incarnation that can't be running any more:
// those that were sent to the worker as lost, the others as not started.
func (k *Keeper) markRunsLost(inc *incarnation, reason string) {
	k.dropUnsent(inc, reason)
	for _, r := range inc.active {
		k.end(r, wire.RunHow_RUN_HOW_LOST, reason)
	}
}

// dropUnsent ends the runs for which no start was sent.
func (k *Keeper) dropUnsent(inc *incarnation, reason string) {
	for _, r := range inc.waiting {
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	for _, r := range inc.active {
		if r.phase == accepted {
			k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
		}
	}
}
