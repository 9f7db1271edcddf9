package lease

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// storeTimeout is how long an end that no entry stores stays unacknowledged
	// after it was listed and its session has ended, so that another entry can
	// take the job over.
	storeTimeout = 15 * time.Second
	// maxUnstored is the number of unacknowledged ends above which new runs of
	// durable jobs are refused, because a worker lists only a bounded number of
	// ends.
	maxUnstored = 200
	// unreadableTimeout is how long an end that can't be read stays
	// unacknowledged, as it may be readable when it is listed again.
	unreadableTimeout = 2 * time.Second
	// unstoredPause and unstoredPauseLong are the pauses between holds while
	// ends are unacknowledged, as the worker answers these holds at once.
	unstoredPause     = 10 * time.Millisecond
	unstoredPauseLong = 50 * time.Millisecond
	// unstoredPauseGrowsAt is the age of the oldest unacknowledged end above
	// which unstoredPauseLong applies.
	unstoredPauseGrowsAt = 300 * time.Millisecond
	// epochRetention is how long the epoch of a job is remembered after the
	// job was last taken over.
	epochRetention = 10 * time.Minute
)

// unstored is an end listed by the worker that no entry has stored. The run
// belongs to a durable job, or was started by an earlier incarnation of the
// agent and may belong to one.
type unstored struct {
	// number is the number of the end at the worker.
	number uint64
	key    runKey
	how    wire.RunHow
	// session is the session to which the end is reported, under the number
	// end; nil if the run is unknown and no entry has taken its job over.
	session *session
	end     uint64
	// unreadable is set if nothing but the number of the end could be read.
	unreadable bool
	// listedAt is the reading of the agent's clock when the end was listed.
	listedAt time.Duration
}

// jobEpoch is the newest known epoch of a job.
type jobEpoch struct {
	number     uint64
	recordedAt time.Duration
}

// jobOf returns the job id of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// mustBeStored reports whether an entry has to store a run's end with this
// outcome.
func mustBeStored(how wire.RunHow) bool {
	return how == wire.RunHow_RUN_HOW_DONE || how == wire.RunHow_RUN_HOW_FAILED
}

// deferAck defers the acknowledgement of the end of a run if the run belongs to
// a durable job and an entry has to store the end.
func (m *Manager) deferAck(inc *incarnation, e Ended, r *run) {
	how, _ := m.outcomeOf(r, e.How)
	if r.epoch == 0 || !mustBeStored(how) {
		return
	}
	inc.unstored = append(inc.unstored, &unstored{
		number: e.Number, key: r.key, how: how, session: r.session, end: m.lastEnd, listedAt: m.cfg.Clock.Now(),
	})
}

// deferUnknownAck defers the acknowledgement of the end of a run that an earlier
// incarnation of the agent may have started for a durable job. Until the lease
// granted by that incarnation has expired, an entry that takes the job over
// receives the end; after that the end is dropped, and the task may run again.
func (m *Manager) deferUnknownAck(inc *incarnation, e Ended) {
	how, _ := m.outcomeOf(&run{}, e.How)
	if inc.cleared || !mustBeStored(how) || m.cfg.HasDurableJobs == nil || !m.cfg.HasDurableJobs() {
		return
	}
	if inc.priorLeaseUntil == 0 {
		inc.priorLeaseUntil = m.monotonic() + withClockMargin(m.cfg.LeaseMax)
	}
	inc.unstored = append(inc.unstored, &unstored{
		number: e.Number, key: runKey{e.Task, e.Run}, how: how, listedAt: m.cfg.Clock.Now(),
	})
}

// deferUnreadableAck defers the acknowledgement of an end that can't be read.
// No run counts as missing until then, as the end may be its end.
func (m *Manager) deferUnreadableAck(inc *incarnation, e Ended) {
	if e.Number <= inc.cursor {
		return
	}
	inc.cursor = e.Number
	inc.unstored = append(inc.unstored, &unstored{number: e.Number, unreadable: true, listedAt: m.cfg.Clock.Now()})
	m.metrics.reportRows.Inc("unreadableEnd")
	m.logIncarnation(event.ReportRowRefused, inc, reasonAttr("unreadableEnd"), slog.Uint64("number", e.Number))
}

// dropUnreadable reports whether the end with this number is one that could not
// be read, and forgets it.
func (inc *incarnation) dropUnreadable(number uint64) bool {
	n := len(inc.unstored)
	inc.unstored = slices.DeleteFunc(inc.unstored, func(u *unstored) bool { return u.unreadable && u.number == number })
	return len(inc.unstored) < n
}

// hasUnreadableEnd reports whether there is an unacknowledged end that can't be
// read.
func (inc *incarnation) hasUnreadableEnd() bool {
	return slices.ContainsFunc(inc.unstored, func(u *unstored) bool { return u.unreadable })
}

// ackCursor returns the number up to which the worker may drop its ends.
func (m *Manager) ackCursor(inc *incarnation) uint64 {
	inc.unstored = slices.DeleteFunc(inc.unstored, func(u *unstored) bool { return m.isResolved(inc, u) })
	cursor := inc.cursor
	for _, u := range inc.unstored {
		cursor = min(cursor, u.number-1)
	}
	return cursor
}

// isResolved reports whether the acknowledgement of an end no longer has to be
// deferred: an entry has stored it, or the wait for that is over.
func (m *Manager) isResolved(inc *incarnation, u *unstored) bool {
	switch {
	case u.unreadable:
		if !inc.endsFull && m.cfg.Clock.Now() < u.listedAt+unreadableTimeout {
			return false
		}
		m.logGivenUp(u, "unreadable")
		return true
	case u.session == nil:
		return m.monotonic() >= inc.priorLeaseUntil || !m.cfg.HasDurableJobs()
	case u.session.ackedEnd >= u.end:
		return true
	case u.session.alive || m.cfg.Clock.Now() < max(u.listedAt, u.session.until)+storeTimeout:
		return false
	}
	m.logGivenUp(u, u.how.Word())
	return true
}

// logGivenUp counts and logs an end that is acknowledged without being stored.
func (m *Manager) logGivenUp(u *unstored, how string) {
	m.metrics.unstored.Inc(1)
	m.logEvent(event.EndGivenUp, slog.String("task", u.key.task), slog.Uint64("attempt", uint64(u.key.attempt)),
		slog.String("how", how), millisAttr("ageMillis", m.cfg.Clock.Now()-u.listedAt))
}

// awaitsLeaseExpiry reports whether the lease must not be extended yet, because
// there are unacknowledged ends of unknown runs whose job no entry has taken
// over.
func (m *Manager) awaitsLeaseExpiry(inc *incarnation) bool {
	return slices.ContainsFunc(inc.unstored, func(u *unstored) bool { return !u.unreadable && u.session == nil && !m.isResolved(inc, u) })
}

// pauseForUnstored returns the pause before the next hold; 0 unless ends are
// unacknowledged or can't be.
func (m *Manager) pauseForUnstored(inc *incarnation) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case inc.unusableRows > 0:
		return unstoredPauseLong
	case len(inc.unstored) == 0:
		return 0
	case m.cfg.Clock.Now()-inc.unstored[0].listedAt > unstoredPauseGrowsAt:
		return unstoredPauseLong
	}
	return unstoredPause
}

// evictEpochs drops the epochs of jobs that were taken over longer ago than
// epochRetention.
func (m *Manager) evictEpochs(now time.Duration) {
	for id, e := range m.epochs {
		if now-e.recordedAt > epochRetention {
			delete(m.epochs, id)
		}
	}
}
