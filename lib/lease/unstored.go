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
	// storeTimeout is how long ends that no entry stores stay unacknowledged:
	// long enough for another entry to take the job over.
	storeTimeout = 15 * time.Second
	// maxUnstored is the number of unacknowledged ends from which a worker
	// gets no further runs of durable jobs, as it lists a bounded number.
	maxUnstored = 200
	// unstoredPause and unstoredPauseLong are the pauses between holds while
	// ends are unacknowledged, as the worker answers these holds at once.
	unstoredPause     = 10 * time.Millisecond
	unstoredPauseLong = 50 * time.Millisecond
	// unstoredPauseGrowsAt is the age of an end from which the pause is the
	// long one.
	unstoredPauseGrowsAt = 300 * time.Millisecond
	// epochRetention is how long the epoch of a job is remembered.
	epochRetention = 10 * time.Minute
)

// unstored is an end that no entry has stored, of a run that belongs to a
// durable job or is unknown here.
type unstored struct {
	// number is that of the end at the worker.
	number uint64
	key    runKey
	how    wire.RunHow
	// session is the one to which the end is reported, as number end; nil for
	// a run that is unknown here.
	session *session
	end     uint64
	// at is when the end was listed, a reading of the agent's clock.
	at time.Duration
}

// jobEpoch is the newest known epoch of a job.
type jobEpoch struct {
	number uint64
	at     time.Duration
}

// jobOf returns the job id of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// mustBeStored reports whether an entry has to store an end like this.
func mustBeStored(how wire.RunHow) bool {
	return how == wire.RunHow_RUN_HOW_DONE || how == wire.RunHow_RUN_HOW_FAILED
}

// deferAck defers the acknowledgement of an end of a durable job's run.
func (k *Keeper) deferAck(l *incarnation, e Ended, r *run) {
	how, _ := k.outcomeOf(r, e.How)
	if r.epoch == 0 || !mustBeStored(how) {
		return
	}
	l.unstored = append(l.unstored, &unstored{
		number: e.Number, key: r.key, how: how, session: r.session, end: k.lastEnd, at: k.cfg.Clock.Now(),
	})
}

// deferUnknownAck does the same for a run that an earlier incarnation of this
// agent may have started for a durable job. The job's owner can ask for the
// end until the lease has expired; after that the end doesn't count, and the
// task may run again.
func (k *Keeper) deferUnknownAck(l *incarnation, e Ended) {
	how, _ := k.outcomeOf(&run{}, e.How)
	if l.cleared || !mustBeStored(how) || k.cfg.HasDurableJobs == nil || !k.cfg.HasDurableJobs() {
		return
	}
	if l.priorLeaseUntil == 0 {
		l.priorLeaseUntil = k.monotonic() + withClockMargin(k.cfg.LeaseMax)
	}
	l.unstored = append(l.unstored, &unstored{
		number: e.Number, key: runKey{e.Task, e.Run}, how: how, at: k.cfg.Clock.Now(),
	})
}

// ackCursor returns the newest end such that the worker may forget it and all
// before it.
func (k *Keeper) ackCursor(l *incarnation) uint64 {
	l.unstored = slices.DeleteFunc(l.unstored, func(u *unstored) bool { return k.isResolved(l, u) })
	if len(l.unstored) == 0 {
		return l.cursor
	}
	return l.unstored[0].number - 1
}

// isResolved reports whether an end is stored or given up.
func (k *Keeper) isResolved(l *incarnation, u *unstored) bool {
	switch {
	case u.session == nil:
		return k.monotonic() >= l.priorLeaseUntil || !k.cfg.HasDurableJobs()
	case u.session.ackedEnd >= u.end:
		return true
	case u.session.alive || k.cfg.Clock.Now() < max(u.at, u.session.until)+storeTimeout:
		return false
	}
	k.metrics.unstored.Inc(1)
	k.logEvent(event.EndGivenUp, slog.String("task", u.key.task), slog.Uint64("attempt", uint64(u.key.attempt)),
		slog.String("how", u.how.Word()), millisAttr("ageMillis", k.cfg.Clock.Now()-u.at))
	return true
}

// awaitsLeaseExpiry reports whether the lease must not be extended yet,
// because there are unacknowledged ends that no owner has asked for.
func (k *Keeper) awaitsLeaseExpiry(l *incarnation) bool {
	return slices.ContainsFunc(l.unstored, func(u *unstored) bool { return u.session == nil && !k.isResolved(l, u) })
}

// pauseForStore returns how long to wait before the next hold.
func (k *Keeper) pauseForStore(l *incarnation) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case len(l.unstored) == 0:
		return 0
	case k.cfg.Clock.Now()-l.unstored[0].at > unstoredPauseGrowsAt:
		return unstoredPauseLong
	}
	return unstoredPause
}

// evictEpochs drops the epochs of jobs that were taken over longer ago than
// epochRetention.
func (k *Keeper) evictEpochs(now time.Duration) {
	for id, e := range k.epochs {
		if now-e.at > epochRetention {
			delete(k.epochs, id)
		}
	}
}
