package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// incarnation is the time of a worker process from its first announcement
// until it is replaced. Durations are readings of the monotonic clock.
type incarnation struct {
	name         string
	announcement Announcement
	worker       Worker
	ctx          context.Context
	cancel       context.CancelFunc
	// unannounced is set if the incarnation is known only from its reports.
	unannounced bool
	// silenceLogged is set once it was logged that the worker does not
	// answer, until it answers again.
	silenceLogged bool
	// departed is set once the worker has said that it shuts down.
	departed bool
	// mismatched is set once the worker has answered as another incarnation.
	mismatched bool
	// cleared is set once no run that this agent does not know is left at the
	// worker.
	cleared bool
	// clockMillis is a reading of the worker's clock, taken at clockAt or
	// before.
	clockMillis int64
	clockAt     time.Duration
	// repliedAt is when the newest answer to a hold arrived.
	repliedAt time.Duration
	// ackedHoldSentAt is when the newest acknowledged hold was sent.
	ackedHoldSentAt time.Duration
	// leaseUntil is when the lease has certainly expired.
	leaseUntil time.Duration
	// maxLeaseUntil is when the lease has certainly expired even if the
	// worker has restarted unnoticed under the same id: the clock of the new
	// process starts anew, so that it grants the longest lease.
	maxLeaseUntil time.Duration
	// lastHoldSent and lastHoldApplied are the numbers of the last hold sent
	// and of the newest one whose report was applied.
	lastHoldSent, lastHoldApplied uint64
	// cursor is the number of the newest end that was processed.
	cursor uint64
	// unstored holds the ends that must not be acknowledged yet.
	unstored []*unstored
	// priorLeaseUntil is when a lease that an earlier incarnation of the
	// agent granted has certainly expired; 0 before the first hold was
	// answered.
	priorLeaseUntil time.Duration
	active          map[string]*run
	waiting         map[string]*run
	runNumbers      map[string]runNumber
	// speed averages the ratio of measured to expected run times.
	speed   placement.Average
	orphans map[Running]*orphan
	// holdNow requests a hold at once.
	holdNow chan struct{}
	retired bool
	// successor is the incarnation under the same id that has replaced this
	// one.
	successor *incarnation
}

// runNumber is the highest number of a task's runs at a worker.
type runNumber struct {
	high uint32
	at   time.Duration
}

func newIncarnation(a Announcement, w Worker, now time.Duration) *incarnation {
	return &incarnation{
		name:         a.IncarnationName(),
		announcement: a,
		worker:       w,
		clockMillis:  a.ClockMillis,
		clockAt:      now,
		repliedAt:    now,
		active:       map[string]*run{},
		waiting:      map[string]*run{},
		runNumbers:   map[string]runNumber{},
		orphans:      map[Running]*orphan{},
		holdNow:      make(chan struct{}, 1),
	}
}

// clock returns a lower bound of the worker's clock.
func (l *incarnation) clock(now time.Duration) int64 {
	return l.clockMillis + int64(minClockRate*float64((now-l.clockAt).Milliseconds()))
}

// updateClock records a reading of the worker's clock that arrived at now.
func (l *incarnation) updateClock(millis int64, now time.Duration) {
	if millis > l.clock(now) {
		l.clockMillis, l.clockAt = millis, now
	}
}

// used returns the capacity that accepted runs take, including those that are
// being stopped.
func (l *incarnation) used() capacity.Vector {
	var sum capacity.Vector
	for _, r := range l.active {
		sum = sum.Plus(r.need)
	}
	for _, r := range l.waiting {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (l *incarnation) free() capacity.Vector { return l.announcement.capacity().Minus(l.used()) }

// recordRunTime adds the run time of a completed run to the average speed.
// Runs whose start got no answer are left out, as it isn't known when they
// began.
func (l *incarnation) recordRunTime(r *run, ran time.Duration) {
	if !r.unanswered {
		l.speed = l.speed.WithRun(ran, r.expected)
	}
}

// hasUnresolvedStart reports whether there is a run whose start got no answer
// and whose stop is not acknowledged yet.
func (l *incarnation) hasUnresolvedStart() bool {
	for _, r := range l.active {
		if r.phase == stopping && r.unanswered && !r.confirmed {
			return true
		}
	}
	return false
}

// recordRunNumber records that the task's run numbers up to high are used.
func (l *incarnation) recordRunNumber(task string, high uint32, now time.Duration) {
	l.runNumbers[task] = runNumber{max(high, l.runNumbers[task].high), now}
}

// evictRunNumbers drops the numbers of tasks that were last used earlier than
// before.
func (l *incarnation) evictRunNumbers(before time.Duration) {
	for task, n := range l.runNumbers {
		if n.at < before && l.active[task] == nil && l.waiting[task] == nil {
			delete(l.runNumbers, task)
		}
	}
}

// requestHold has a hold sent at once.
func (l *incarnation) requestHold() {
	select {
	case l.holdNow <- struct{}{}:
	default:
	}
}
