package lease

import (
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
)

// orphan is a run at the worker that belongs to no session of this agent: an
// earlier incarnation of the agent started it, or it was recorded as lost.
type orphan struct {
	m   *Manager
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
func (m *Manager) addOrphan(inc *incarnation, id Running) {
	if inc.orphans[id] != nil {
		return
	}
	o := &orphan{m: m, inc: inc, id: id}
	inc.orphans[id] = o
	m.metrics.stops.Inc("unknown")
	m.logEvent(event.RunStopped, slog.String("task", id.Task), slog.Uint64("run", uint64(id.Run)),
		slog.String("worker", inc.announcement.ID), reasonAttr("unknown"))
	if inc.ctx != nil {
		m.spawn(o.run)
	}
}

func (o *orphan) run() {
	for {
		q, w, ok := o.prepareStop()
		if !ok {
			return
		}
		began := time.Now()
		a, err := o.m.callStop(w, q)
		if o.finishStop(q, a, err) {
			return
		}
		time.Sleep(stopInterval - time.Since(began))
	}
}

func (o *orphan) prepareStop() (Stop, Worker, bool) {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	inc := o.inc
	if inc.orphans[o.id] != o || inc.retired || inc.mismatched || o.m.ctx == nil {
		return Stop{}, nil, false
	}
	return o.m.newStop(inc, o.id.Task, o.id.Run), inc.worker, true
}

func (o *orphan) finishStop(q Stop, a Answer, err error) bool {
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	if !o.m.applyStopAnswer(o.inc, q, a, err) {
		return o.inc.mismatched
	}
	o.acked = true
	o.precedingHold = o.inc.lastHoldSent
	o.inc.recordRunNumber(o.id.Task, o.id.Run, o.m.monotonic())
	o.inc.requestHold()
	return true
}
