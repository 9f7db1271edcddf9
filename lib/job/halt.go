package job

import (
	"context"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// haltTimeout bounds one Halt call.
	haltTimeout = 150 * time.Millisecond
	// haltAgainAfter is how long after the acknowledgement of its halt a run's
	// end may stay unreported before the halt is repeated.
	haltAgainAfter = 500 * time.Millisecond
)

// haltSender sends halts to one agent until each is acknowledged.
type haltSender struct {
	l *link
	// waiting holds the runs whose halt is not acknowledged.
	waiting []*run
	active  bool
}

// overdue reports whether a halt has been unacknowledged for longer than limit.
func (h *haltSender) overdue(now, limit time.Duration) bool {
	return slices.ContainsFunc(h.waiting, func(r *run) bool { return now-r.halt.at > limit })
}

// remove drops a run whose halt is acknowledged or that has ended.
func (h *haltSender) remove(r *run) {
	h.waiting = slices.DeleteFunc(h.waiting, func(one *run) bool { return one == r })
}

// removeAll drops all runs; called when the agent has restarted.
func (h *haltSender) removeAll() { h.waiting = nil }

// add queues a halt for a run.
func (h *haltSender) add(r *run) {
	h.waiting = append(h.waiting, r)
	if !h.active && h.l.d.ctx.Err() == nil {
		h.active = true
		h.l.d.calls.Go(h.loop)
	}
}

// loop sends queued halts until there are none.
func (h *haltSender) loop() {
	ctx := h.l.d.ctx
	for {
		runs, runner, q := h.next()
		if runs == nil {
			return
		}
		if !h.call(ctx, runs, runner, q) {
			sleep(ctx, h.pause())
		}
	}
}

// pause returns the wait after an unacknowledged call.
func (h *haltSender) pause() time.Duration {
	h.l.d.mu.Lock()
	defer h.l.d.mu.Unlock()
	if h.l.isAbsent() {
		return h.l.lookPause()
	}
	return backoff(longestBackoff)
}

// next returns the runs to halt and the request for it.
func (h *haltSender) next() ([]*run, wire.Runner, *wire.HaltRequest) {
	d := h.l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(h.waiting) == 0 || d.ctx.Err() != nil {
		h.active = false
		return nil, nil, nil
	}
	q := &wire.HaltRequest{Entry: d.self, Agent: h.l.agent}
	for _, r := range h.waiting {
		q.Runs = append(q.Runs, r.id())
	}
	return slices.Clone(h.waiting), h.l.runner, q
}

func (h *haltSender) call(ctx context.Context, runs []*run, runner wire.Runner, q *wire.HaltRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, haltTimeout)
	defer cancel()
	_, err := runner.Halt(ctx, q)
	d := h.l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		h.l.dropConnections()
		d.metrics.retry("halt")
		d.logHaltUnanswered(q.GetAgent(), runs, err)
		return false
	}
	now := d.clock.Now()
	for _, r := range runs {
		r.halt.acked = true
		r.halt.ackedAt = now
		h.remove(r)
	}
	return true
}

// halt stops a run, or has the agent refuse its launch if that has not arrived.
// The run is removed once the agent reports its end.
func (d *Dispatcher) halt(r *run, why string, now time.Duration) {
	if r.halt.why != "" {
		return
	}
	r.halt = haltState{why: why, at: now}
	if r.link.runs[r.key()] != r {
		return
	}
	d.metrics.halt(why)
	d.logHalted(r, why, now)
	r.link.haltSender.add(r)
}

// repeatHalt sends another halt for a run that has not ended within
// haltAgainAfter of the acknowledgement.
func (d *Dispatcher) repeatHalt(r *run, now time.Duration) {
	if !r.halt.acked || now-r.halt.ackedAt < haltAgainAfter {
		return
	}
	r.halt.acked = false
	r.halt.at = now
	r.link.haltSender.add(r)
}
