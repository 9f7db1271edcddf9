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
	// storePatience is how long ends are held back that no entry stores: long
	// enough for another entry to take the job over.
	storePatience = 15 * time.Second
	// maxUnstored is the number of ends held back from which a worker gets no
	// further kept runs, as it lists a bounded number.
	maxUnstored = 200
	// storeWait and storeWaitLong are the pauses between holds while ends are
	// held back, as the worker answers these at once.
	storeWait     = 10 * time.Millisecond
	storeWaitLong = 50 * time.Millisecond
	// storeWaitGrows is the age of an end from which the pause is the long one.
	storeWaitGrows = 300 * time.Millisecond
	// epochMemory is how long the epoch of a job is remembered.
	epochMemory = 10 * time.Minute
)

// unstored is the end of a kept run, or of an unknown one, that no entry has
// stored.
type unstored struct {
	// number of the end at the worker.
	number uint64
	key    runKey
	how    wire.RunHow
	// session that is told of the end under the number end; nil for a run that
	// is unknown here.
	session *session
	end     uint64
	// at is when it was listed, a reading of the agent's clock.
	at time.Duration
}

// jobEpoch is the newest epoch of a job that is known here.
type jobEpoch struct {
	number uint64
	at     time.Duration
}

// jobOf is the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// matters tells whether an end has to be stored.
func matters(how wire.RunHow) bool {
	return how == wire.RunHow_RUN_HOW_DONE || how == wire.RunHow_RUN_HOW_FAILED
}

// holdEnd holds the acknowledgement of a kept run's end back.
func (k *Keeper) holdEnd(l *life, e Ended, r *run) {
	how, _ := k.endOf(r, e.How)
	if r.epoch == 0 || !matters(how) {
		return
	}
	l.unstored = append(l.unstored, &unstored{
		number: e.Number, key: r.key, how: how, session: r.session, end: k.lastEnd, at: k.cfg.Clock.Now(),
	})
}

// holdUnknown does the same for a run that an earlier incarnation of this agent
// may have started for a kept job. Its owner can ask for the end until the lease
// has lapsed; after that the end doesn't count, and the task may run again.
func (k *Keeper) holdUnknown(l *life, e Ended) {
	how, _ := k.endOf(&run{}, e.How)
	if l.cleared || !matters(how) || k.cfg.KeepsEnds == nil || !k.cfg.KeepsEnds() {
		return
	}
	if l.lapsedAt == 0 {
		l.lapsedAt = k.steady() + scaled(k.cfg.LeaseMax)
	}
	l.unstored = append(l.unstored, &unstored{
		number: e.Number, key: runKey{e.Task, e.Run}, how: how, at: k.cfg.Clock.Now(),
	})
}

// acknowledgeable is the newest end such that it and all before it may be
// forgotten by the worker.
func (k *Keeper) acknowledgeable(l *life) uint64 {
	l.unstored = slices.DeleteFunc(l.unstored, func(u *unstored) bool { return k.isSettled(l, u) })
	if len(l.unstored) == 0 {
		return l.cursor
	}
	return l.unstored[0].number - 1
}

// isSettled tells whether an end is stored or given up.
func (k *Keeper) isSettled(l *life, u *unstored) bool {
	switch {
	case u.session == nil:
		return k.steady() >= l.lapsedAt || !k.cfg.KeepsEnds()
	case u.session.seenEnd >= u.end:
		return true
	case u.session.alive || k.cfg.Clock.Now() < max(u.at, u.session.until)+storePatience:
		return false
	}
	k.metrics.unstored.Inc(1)
	k.tell(event.EndGivenUp, slog.String("task", u.key.task), slog.Uint64("attempt", uint64(u.key.attempt)),
		slog.String("how", u.how.Word()), millisAttr("ageMillis", k.cfg.Clock.Now()-u.at))
	return true
}

// awaitsLapse tells whether the lease must not be extended yet, as ends are held
// back that nobody has asked for.
func (k *Keeper) awaitsLapse(l *life) bool {
	return slices.ContainsFunc(l.unstored, func(u *unstored) bool { return u.session == nil && !k.isSettled(l, u) })
}

// storePause is how long to wait before the next hold.
func (k *Keeper) storePause(l *life) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case len(l.unstored) == 0:
		return 0
	case k.cfg.Clock.Now()-l.unstored[0].at > storeWaitGrows:
		return storeWaitLong
	}
	return storeWait
}

// forgetEpochs drops the epochs of jobs that were taken over long ago.
func (k *Keeper) forgetEpochs(now time.Duration) {
	for id, e := range k.epochs {
		if now-e.at > epochMemory {
			delete(k.epochs, id)
		}
	}
}
