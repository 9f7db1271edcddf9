package lease

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// maxEndGap is how far the number of an end may be ahead of the one before it,
	// and maxFirstEnd the largest number of the first one that this agent gets.
	// Without a limit, one end by another writer would have all later ends taken
	// for processed, and acknowledged.
	maxEndGap   = 1 << 20
	maxFirstEnd = 1 << 40
)

// applyEnds processes the ends that were not processed before. Reports repeat
// ends, because they may arrive out of order and ends stay listed until they
// are acknowledged.
func (m *Manager) applyEnds(inc *incarnation, report Report) {
	ends := slices.Clone(report.Ended)
	slices.SortFunc(ends, func(a, b Ended) int { return cmp.Compare(a.Number, b.Number) })
	unusable := report.Unreadable
	for _, e := range ends {
		switch {
		case e.Number > inc.maxNextEnd():
			unusable++
		case e.Task == "":
			m.deferUnreadableAck(inc, e)
		case e.Number > inc.cursor || inc.dropUnreadable(e.Number):
			inc.cursor = max(inc.cursor, e.Number)
			m.applyEnd(inc, e)
		}
	}
	inc.endsFull = report.Partial
	m.recordUnusable(inc, unusable)
}

// maxNextEnd returns the largest number that an end may have.
func (inc *incarnation) maxNextEnd() uint64 {
	if inc.cursor == 0 {
		return maxFirstEnd
	}
	return inc.cursor + maxEndGap
}

// recordUnusable counts and logs rows of a report that are left out, unless the
// report before had as many.
func (m *Manager) recordUnusable(inc *incarnation, rows int) {
	if rows > inc.unusableRows {
		m.metrics.reportRows.Inc("unusable")
		m.logIncarnation(event.ReportRowRefused, inc, reasonAttr("unusable"), slog.Int("rows", rows))
	}
	inc.unusableRows = rows
}

func (m *Manager) applyEnd(inc *incarnation, e Ended) {
	inc.recordRunNumber(e.Task, e.Run, m.monotonic())
	delete(inc.orphans, Running{Task: e.Task, Run: e.Run})
	r := inc.active[e.Task]
	if r == nil || r.number != e.Run || r.phase == accepted {
		m.metrics.ends.Inc("unknown")
		m.deferUnknownAck(inc, e)
		return
	}
	if r.phase == starting {
		m.markStarted(r)
	}
	how, reason := m.outcomeOf(r, e.How)
	m.end(r, how, reason)
	m.deferAck(inc, e, r)
}

// outcomeOf translates how a run ended at the worker into the outcome and the
// reason that are reported to the entry.
func (m *Manager) outcomeOf(r *run, how How) (wire.RunHow, string) {
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
// the hold q and sent the time at which it was sent.
func (m *Manager) applyRunning(inc *incarnation, q Hold, seq uint64, sent time.Duration, report Report) {
	present := make(map[Running]bool, len(report.Running))
	for _, id := range report.Running {
		present[id] = true
		m.applyPresent(inc, id, sent)
	}
	if report.Partial || inc.hasUnreadableEnd() {
		return
	}
	for _, r := range inc.active {
		if !present[Running{Task: r.key.task, Run: r.number}] && seq > r.precedingHold {
			m.applyAbsent(r, q.Fence)
		}
	}
	for id, o := range inc.orphans {
		if o.acked && seq > o.precedingHold && !present[id] {
			delete(inc.orphans, id)
		}
	}
	if len(inc.orphans) == 0 && !inc.cleared && !m.awaitsLeaseExpiry(inc) {
		inc.cleared = true
		m.logIncarnation(event.Cleared, inc, millisAttr("tookMillis", m.monotonic()))
	}
}

// applyPresent processes a run that the worker lists as running. A run that the
// agent does not know becomes an orphan, unless its number was recorded after
// the hold was sent, so that the report may be outdated.
func (m *Manager) applyPresent(inc *incarnation, at Running, sent time.Duration) {
	r := inc.active[at.Task]
	if r != nil && r.number == at.Run && r.atWorker() {
		m.markStarted(r)
		return
	}
	n := inc.runNumbers[at.Task]
	if at.Run <= n.high && sent <= n.at {
		return
	}
	m.addOrphan(inc, at)
}

// applyAbsent ends a run that the worker lists neither as running nor as
// ended. Once the worker has processed a hold with a higher fence than that of
// the start, it refuses the start if it arrives later.
func (m *Manager) applyAbsent(r *run, fence uint64) {
	switch {
	case r.phase == running, r.phase == stopping && r.confirmed, r.phase == awaitingEnd && r.confirmed:
		m.end(r, wire.RunHow_RUN_HOW_LOST, "missing")
	case r.phase == awaitingEnd:
		m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, r.reason)
	case r.phase == stopping && fence > r.fence:
		m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, r.reason)
	}
}
