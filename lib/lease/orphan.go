package lease

import (
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
)

// orphan is a run at the worker that belongs to no session of this agent: an
// earlier incarnation of the agent started it, or it was recorded as lost.
type orphan struct {
	k   *Keeper
	inc *incarnation
	id  Running
	// acked is set once the worker has acknowledged the stop.
	acked bool
	// precedingHold is the number of the last hold sent before the stop was
	// acknowledged.
	precedingHold uint64
}

// addOrphan stops a run that belongs to no session. New runs are refused until
// a later hold shows that the orphan has ended.
func (k *Keeper) addOrphan(inc *incarnation, id Running) {
	if inc.orphans[id] != nil {
		return
	}
	o := &orphan{k: k, inc: inc, id: id}
	inc.orphans[id] = o
	k.metrics.stops.Inc("unknown")
	k.logEvent(event.RunStopped, slog.String("task", id.Task), slog.Uint64("run", uint64(id.Run)),
		slog.String("worker", inc.announcement.ID), reasonAttr("unknown"))
	if inc.ctx != nil {
		k.spawn(o.run)
	}
}

func (o *orphan) run() {
	for {
		q, w, ok := o.prepareStop()
		if !ok {
			return
		}
		began := time.Now()
		a, err := o.k.callStop(w, q)
		if o.finishStop(q, a, err) {
			return
		}
		time.Sleep(stopInterval - time.Since(began))
	}
}

func (o *orphan) prepareStop() (Stop, Worker, bool) {
	o.k.mu.Lock()
	defer o.k.mu.Unlock()
	inc := o.inc
	if inc.orphans[o.id] != o || inc.retired || inc.mismatched || o.k.ctx == nil {
		return Stop{}, nil, false
	}
	return o.k.newStop(inc, o.id.Task, o.id.Run), inc.worker, true
}

func (o *orphan) finishStop(q Stop, a Answer, err error) bool {
	o.k.mu.Lock()
	defer o.k.mu.Unlock()
	if !o.k.applyStopAnswer(o.inc, q, a, err) {
		return o.inc.mismatched
	}
	o.acked = true
	o.precedingHold = o.inc.lastHoldSent
	o.inc.recordRunNumber(o.id.Task, o.id.Run, o.k.monotonic())
	o.inc.requestHold()
	return true
}
