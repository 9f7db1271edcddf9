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
func (m *Manager) Announce(a Announcement) error {
	if err := a.check(); err != nil {
		m.RejectMalformed(a.ID, err)
		return err
	}
	confirmed := m.needsConfirmation(a) && m.confirm(a)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	switch {
	case m.incarnation == nil:
		m.activate(a)
	case a.IncarnationName() == m.incarnation.name:
		m.update(m.incarnation, a)
	case !m.mayReplace(a):
		m.rejected = &a
		m.incarnation.requestHold()
		m.rejectAnnouncement(a, "formerLife")
	case !confirmed:
		m.rejectAnnouncement(a, "unconfirmed")
	default:
		m.replace(a)
	}
	m.refreshState()
	return nil
}

// rejectAnnouncement counts and logs an announcement that changes nothing.
func (m *Manager) rejectAnnouncement(a Announcement, reason string) {
	m.metrics.announcements.Inc(reason)
	m.logEvent(event.AnnouncementRefused, slog.String("worker", a.ID), slog.Int64("life", a.Born), reasonAttr(reason))
}

// needsConfirmation reports whether a may replace the current incarnation.
func (m *Manager) needsConfirmation(a Announcement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation != nil && a.IncarnationName() != m.incarnation.name && m.mayReplace(a)
}

// confirm reports whether the announced incarnation answers a call. An
// announcement alone doesn't show that, as it may be delayed or come from another
// writer.
func (m *Manager) confirm(a Announcement) bool {
	m.mu.Lock()
	q := Hold{Fence: m.fence.number, WorkerID: a.ID}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	w := m.dial(a)
	defer w.Close()
	report, err := w.Hold(ctx, q)
	answered := err == nil && (report.Refusal == Accepted || report.Refusal == RefusedFence)
	return answered && (report.Born == 0 || report.Born == a.Born)
}

// RejectMalformed counts and logs an announcement under the given id that can't
// be used.
func (m *Manager) RejectMalformed(id string, err error) {
	m.metrics.announcements.Inc("malformed")
	m.logEvent(event.AnnouncementRefused, slog.String("worker", id[:min(len(id), maxNameBytes)]), reasonAttr("malformed"), slog.String("error", err.Error()))
}

// Leave records that the worker with this id is shutting down.
func (m *Manager) Leave(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.incarnation == nil || m.incarnation.announcement.ID != id {
		return
	}
	m.incarnation.departed = true
	m.refreshState()
}

// isNewer reports whether a belongs to a later incarnation than the current
// one. Once the worker has answered calls as another incarnation, the current
// one has ended even if a announces an earlier start time, because the time of
// day may have been set back.
func (m *Manager) isNewer(a Announcement) bool {
	if slices.Contains(m.retiredNames, a.IncarnationName()) {
		return false
	}
	return m.incarnation.mismatched || a.Born > m.incarnation.announcement.Born
}

// mayReplace reports whether a may belong to a later incarnation than the current
// one. It may in any case if the current one doesn't answer, as that one may come
// from another writer.
func (m *Manager) mayReplace(a Announcement) bool {
	return m.incarnation.mismatched || m.isSilent(m.incarnation) || m.isNewer(a)
}

func (m *Manager) update(inc *incarnation, a Announcement) {
	if a.Sequence <= inc.announcement.Sequence && !inc.isSequenceReset(a, m.monotonic()) {
		m.metrics.announcements.Inc("late")
		return
	}
	inc.lateSequence = 0
	if a.Address != inc.announcement.Address {
		inc.worker.Close()
		inc.worker = m.dial(a)
	}
	inc.announcement = a
	inc.departed = false
	inc.unannounced = false
	inc.mismatched = false
}

func (m *Manager) activate(a Announcement) {
	inc := newIncarnation(a, m.dial(a), m.monotonic())
	m.incarnation = inc
	m.rejected = nil
	m.logIncarnation(event.WorkerCame, inc, slog.String("service", a.Service), slog.String("address", a.Address),
		resourcesAttr("free", a.capacity()), slog.Any("labels", a.Labels))
	if m.ctx != nil {
		m.startLoops(inc)
	}
}

// replace retires the current incarnation in favour of the one that a
// announces.
func (m *Manager) replace(a Announcement) {
	old := m.incarnation
	old.retired = true
	old.worker.Close()
	m.retiredNames = slices.DeleteFunc(m.retiredNames, func(name string) bool { return name == a.IncarnationName() })
	m.retiredNames = append(m.retiredNames, old.name)
	if len(m.retiredNames) > maxRetiredNames {
		m.retiredNames = m.retiredNames[1:]
	}
	if old.cancel != nil {
		old.cancel()
	}
	m.activate(a)
	m.logIncarnation(event.WorkerNewLife, m.incarnation, slog.Int("lost", len(old.active)))
	m.dropUnsent(old, "workerReplaced")
	switch {
	case a.ID == old.announcement.ID:
		m.transferRuns(old)
	case a.Address == old.announcement.Address:
		m.markRunsLost(old, "workerReplaced")
	default:
		m.retired = append(m.retired, old)
	}
}

// transferRuns registers the runs of old as orphans of its successor. Both have
// the same worker id, so the successor may have accepted orders that were meant
// for old. The runs count as lost once the successor is cleared.
func (m *Manager) transferRuns(old *incarnation) {
	old.successor = m.incarnation
	m.retired = append(m.retired, old)
	for _, r := range old.active {
		if r.atWorker() {
			m.addOrphan(m.incarnation, Running{Task: r.key.task, Run: r.number})
		}
	}
	for run := range old.orphans {
		m.addOrphan(m.incarnation, run)
	}
}

// startLoops starts the goroutines that extend the lease of an incarnation and
// stop its orphans.
func (m *Manager) startLoops(inc *incarnation) {
	inc.ctx, inc.cancel = context.WithCancel(m.ctx)
	inc.repliedAt = m.monotonic()
	inc.ackedHoldSentAt = inc.repliedAt
	m.spawn((&poller{m, inc}).loop)
	m.spawn((&prober{m, inc}).loop)
	for _, o := range inc.orphans {
		m.spawn(o.run)
	}
}

// replaceFromReport replaces an incarnation by the one that has answered in
// its place under the same id. The new one accepts runs only after it has
// announced itself.
func (m *Manager) replaceFromReport(inc *incarnation, report Report) {
	a := inc.announcement
	a.Born = report.Born
	a.Sequence = 0
	m.markMismatched(inc)
	if inc != m.incarnation || slices.Contains(m.retiredNames, a.IncarnationName()) {
		return
	}
	m.replace(a)
	m.incarnation.unannounced = true
}

// markRunsLost ends all runs of an incarnation that can't be running any more:
// those that were sent to the worker as lost, the others as not started.
func (m *Manager) markRunsLost(inc *incarnation, reason string) {
	m.dropUnsent(inc, reason)
	for _, r := range inc.active {
		m.end(r, wire.RunHow_RUN_HOW_LOST, reason)
	}
}

// dropUnsent ends the runs for which no start was sent.
func (m *Manager) dropUnsent(inc *incarnation, reason string) {
	m.dropQueued(inc, reason)
	for _, r := range inc.waiting {
		m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	for _, r := range inc.active {
		if r.phase == accepted {
			m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
		}
	}
}
