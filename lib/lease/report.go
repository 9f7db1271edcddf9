package lease

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// takeEnds takes in the ends that are new. Answers may overtake each other, so
// that an older one repeats ends.
func (k *Keeper) takeEnds(l *life, ends []Ended) {
	ends = slices.Clone(ends)
	slices.SortFunc(ends, func(a, b Ended) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range ends {
		if e.Number <= l.cursor {
			continue
		}
		l.cursor = e.Number
		k.takeEnd(l, e)
	}
}

func (k *Keeper) takeEnd(l *life, e Ended) {
	l.noteNumber(e.Task, e.Run, k.steady())
	delete(l.strays, Running{Task: e.Task, Run: e.Run})
	r := l.active[e.Task]
	if r == nil || r.number != e.Run || r.phase == accepted {
		k.metrics.ends.Inc("unknown")
		k.holdUnknown(l, e)
		return
	}
	if r.phase == starting {
		k.started(r)
	}
	how, reason := k.endOf(r, e.How)
	k.end(r, how, reason)
	k.holdEnd(l, e, r)
}

// endOf is what a worker's word on an end means to an entry.
func (k *Keeper) endOf(r *run, how How) (wire.RunHow, string) {
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

// takeRunning takes in what runs. seq is the number of the hold, sent when it
// was sent.
func (k *Keeper) takeRunning(l *life, q Hold, seq uint64, sent time.Duration, report Report) {
	present := make(map[Running]bool, len(report.Running))
	for _, at := range report.Running {
		present[at] = true
		k.takePresent(l, at, sent)
	}
	if report.Partial {
		return
	}
	for _, r := range l.active {
		if !present[Running{Task: r.key.task, Run: r.number}] && seq > r.proof {
			k.takeAbsent(r, q.Fence)
		}
	}
	for at, s := range l.strays {
		if s.off && seq > s.proof && !present[at] {
			delete(l.strays, at)
		}
	}
	if len(l.strays) == 0 && !l.cleared && !k.awaitsLapse(l) {
		l.cleared = true
		k.tellLife(event.Cleared, l, millisAttr("tookMillis", k.steady()))
	}
}

func (k *Keeper) takePresent(l *life, at Running, sent time.Duration) {
	r := l.active[at.Task]
	if r != nil && r.number == at.Run && r.atWorker() {
		k.started(r)
		return
	}
	n := l.numbers[at.Task]
	if at.Run <= n.high && sent <= n.at {
		return
	}
	k.addStray(l, at)
}

// takeAbsent ends a run that the worker neither has nor lists as ended. A start
// that has not arrived is void once a hold with a higher fence was taken.
func (k *Keeper) takeAbsent(r *run, fence uint64) {
	switch {
	case r.phase == running, r.phase == stopping && r.known, r.phase == barred && r.known:
		k.end(r, wire.RunHow_RUN_HOW_LOST, "missing")
	case r.phase == barred:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, r.reason)
	case r.phase == stopping && fence > r.fence:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, r.reason)
	}
}
