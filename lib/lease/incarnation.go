package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// incarnation is the state of one worker process, from its first announcement
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
	// departed is set once the worker has announced that it is shutting down.
	departed bool
	// mismatched is set once the worker has answered as another incarnation.
	mismatched bool
	// disconnectedAt is when a connection to the worker last broke, and disconnected
	// is set until a hold that was sent later is answered: the worker may have
	// crashed, and a successor of another kind may answer under its id.
	disconnected   bool
	disconnectedAt time.Duration
	// cleared is set once the worker has no orphans left and no end of an
	// unknown run waits for an owner.
	cleared bool
	// lateSequence is the largest sequence number since the last announcement that
	// was not late, 0 if there was none, and lateSince when the first came.
	lateSequence uint64
	lateSince    time.Duration
	// clockMillis is a reading of the worker's clock, taken at clockAt or
	// before; 0 before its first answer. A reading in an announcement may come
	// from another writer, and one that is ahead would lengthen the lease.
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
	// endsFull is set if the last report may lack the newest ends.
	endsFull bool
	// unusableRows is the number of rows of the last report that were left out.
	unusableRows int
	// priorLeaseUntil is when a lease that an earlier incarnation of the
	// agent granted has certainly expired; 0 before the first hold was
	// answered.
	priorLeaseUntil time.Duration
	// active holds, by task, the run that is to be started or was sent to the
	// worker; waiting the accepted run that replaces it once it has ended.
	active  map[string]*run
	waiting map[string]*run
	// queue orders the runs that wait for capacity, and queued holds them by the
	// id of their place. They reserve no capacity.
	queue      placement.WaitQueue
	queued     map[uint64]*run
	runNumbers map[string]runNumber
	// speed averages the ratio of measured to expected run times.
	speed   placement.Average
	orphans map[Running]*orphan
	// holdNow makes the prober send a hold at once.
	holdNow chan struct{}
	// retired is set once another incarnation has replaced this one.
	retired bool
	// successor is the incarnation under the same id that has replaced this
	// one.
	successor *incarnation
}

// runNumber is the highest number of a task's runs at a worker, and when it was
// last recorded.
type runNumber struct {
	high uint32
	at   time.Duration
}

func newIncarnation(a Announcement, w Worker, now time.Duration) *incarnation {
	return &incarnation{
		name:         a.IncarnationName(),
		announcement: a,
		worker:       w,
		clockAt:      now,
		repliedAt:    now,
		active:       map[string]*run{},
		waiting:      map[string]*run{},
		queued:       map[uint64]*run{},
		runNumbers:   map[string]runNumber{},
		orphans:      map[Running]*orphan{},
		holdNow:      make(chan struct{}, 1),
	}
}

// clock returns a lower bound of the worker's clock.
func (inc *incarnation) clock(now time.Duration) int64 {
	return inc.clockMillis + int64(minClockRate*float64((now-inc.clockAt).Milliseconds()))
}

// updateClock records a reading of the worker's clock that arrived at now.
func (inc *incarnation) updateClock(millis int64, now time.Duration) {
	if millis > inc.clock(now) {
		inc.clockMillis, inc.clockAt = millis, now
	}
}

// isSequenceReset reports whether an announcement with a late sequence number is
// to be used: the numbers of late ones have risen for sequenceTimeout and none that
// is not late came, so that the last one used was by another writer. Announcements
// that were delayed never end a draining.
func (inc *incarnation) isSequenceReset(a Announcement, now time.Duration) bool {
	if a.Sequence <= inc.lateSequence || inc.announcement.Draining {
		return false
	}
	if inc.lateSequence == 0 {
		inc.lateSince = now
	}
	inc.lateSequence = a.Sequence
	return now-inc.lateSince >= sequenceTimeout
}

// used returns the capacity that accepted runs take, including those that are
// being stopped.
func (inc *incarnation) used() capacity.Vector {
	var sum capacity.Vector
	for _, r := range inc.active {
		sum = sum.Plus(r.need)
	}
	for _, r := range inc.waiting {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (inc *incarnation) free() capacity.Vector { return inc.announcement.capacity().Minus(inc.used()) }

// recordRunTime adds the run time of a completed run to the average speed.
// Runs with an unanswered start are left out, as the time of their start is
// unknown.
func (inc *incarnation) recordRunTime(r *run, runTime time.Duration) {
	if !r.unanswered {
		inc.speed = inc.speed.WithRun(runTime, r.expected)
	}
}

// hasUnresolvedStart reports whether there is a run with an unanswered start
// that the worker hasn't confirmed and whose stop it hasn't acknowledged.
func (inc *incarnation) hasUnresolvedStart() bool {
	for _, r := range inc.active {
		if r.phase == stopping && r.unanswered && !r.confirmed {
			return true
		}
	}
	return false
}

// recordRunNumber records that the run numbers of a task are in use up to high.
func (inc *incarnation) recordRunNumber(task string, high uint32, now time.Duration) {
	inc.runNumbers[task] = runNumber{max(high, inc.runNumbers[task].high), now}
}

// evictRunNumbers drops the run numbers that were last recorded earlier than
// before, except those of tasks with an accepted run.
func (inc *incarnation) evictRunNumbers(before time.Duration) {
	for task, n := range inc.runNumbers {
		if n.at < before && inc.active[task] == nil && inc.waiting[task] == nil {
			delete(inc.runNumbers, task)
		}
	}
}

// recordDisconnect records that a call failed for another reason than that its
// time was over.
func (inc *incarnation) recordDisconnect(now time.Duration) {
	if !inc.disconnected {
		inc.requestHold()
	}
	inc.disconnected, inc.disconnectedAt = true, now
}

// requestHold makes the prober send a hold at once.
func (inc *incarnation) requestHold() {
	select {
	case inc.holdNow <- struct{}{}:
	default:
	}
}
