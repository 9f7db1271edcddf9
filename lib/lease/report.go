package lease

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// applyEnds processes the ends that are new. Reports may arrive out of order,
// so that an older one repeats ends.
func (k *Keeper) applyEnds(l *incarnation, ends []Ended) {
	ends = slices.Clone(ends)
	slices.SortFunc(ends, func(a, b Ended) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range ends {
		if e.Number <= l.cursor {
			continue
		}
		l.cursor = e.Number
		k.applyEnd(l, e)
	}
}

func (k *Keeper) applyEnd(l *incarnation, e Ended) {
	l.recordRunNumber(e.Task, e.Run, k.monotonic())
	delete(l.orphans, Running{Task: e.Task, Run: e.Run})
	r := l.active[e.Task]
	if r == nil || r.number != e.Run || r.phase == accepted {
		k.metrics.ends.Inc("unknown")
		k.deferUnknownAck(l, e)
		return
	}
	if r.phase == starting {
		k.markStarted(r)
	}
	how, reason := k.outcomeOf(r, e.How)
	k.end(r, how, reason)
	k.deferAck(l, e, r)
}

// outcomeOf translates how a run ended at the worker into what the entry is
// told.
func (k *Keeper) outcomeOf(r *run, how How) (wire.RunHow, string) {
	switch how {
	case Done:
		return wire.RunHow_RUN_HOW_DONE, ""
	case Stopped:
		return wire.RunHow_RUN_HOW_STOPPED, cmp.Or(r.reason, "stopped")
	case Lapsed:
		return wire.RunHow_RUN_HOW_LOST, "lapsed"
	case Failed, Broken, Alone:
		return wire.RunHow_RUN_HOW_FAILED, string(how)
	}
	return wire.RunHow_RUN_HOW_FAILED, "unknownEnd"
}

// applyRunning processes the list of runs at the worker. seq is the number of
// the hold and sent the time at which it was sent.
func (k *Keeper) applyRunning(l *incarnation, q Hold, seq uint64, sent time.Duration, report Report) {
	present := make(map[Running]bool, len(report.Running))
	for _, at := range report.Running {
		present[at] = true
		k.applyPresent(l, at, sent)
	}
	if report.Partial {
		return
	}
	for _, r := range l.active {
		if !present[Running{Task: r.key.task, Run: r.number}] && seq > r.precedingHold {
			k.applyAbsent(r, q.Fence)
		}
	}
	for at, s := range l.orphans {
		if s.acked && seq > s.precedingHold && !present[at] {
			delete(l.orphans, at)
		}
	}
	if len(l.orphans) == 0 && !l.cleared && !k.awaitsLeaseExpiry(l) {
		l.cleared = true
		k.logIncarnation(event.Cleared, l, millisAttr("tookMillis", k.monotonic()))
	}
}

func (k *Keeper) applyPresent(l *incarnation, at Running, sent time.Duration) {
	r := l.active[at.Task]
	if r != nil && r.number == at.Run && r.atWorker() {
		k.markStarted(r)
		return
	}
	n := l.runNumbers[at.Task]
	if at.Run <= n.high && sent <= n.at {
		return
	}
	k.addOrphan(l, at)
}

// applyAbsent ends a run that the worker lists neither as running nor as
// ended. A start that has not arrived is void once the worker has processed a
// hold with a higher fence.
func (k *Keeper) applyAbsent(r *run, fence uint64) {
	switch {
	case r.phase == running, r.phase == stopping && r.confirmed, r.phase == barred && r.confirmed:
		k.end(r, wire.RunHow_RUN_HOW_LOST, "missing")
	case r.phase == barred:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, r.reason)
	case r.phase == stopping && fence > r.fence:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, r.reason)
	}
}
