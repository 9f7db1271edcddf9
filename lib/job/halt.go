package job

import (
	"context"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// haltTimeout bounds one call.
	haltTimeout = 150 * time.Millisecond
	// haltAgainAfter is how long the end of a run that is being stopped may
	// stay unlisted.
	haltAgainAfter = 500 * time.Millisecond
)

// halter sends halts to one agent until each is acknowledged.
type halter struct {
	l *link
	// waiting are the runs whose halt is not acknowledged.
	waiting []*run
	active  bool
}

// overdue tells whether a halt has been unacknowledged for longer than patience.
func (h *halter) overdue(now, patience time.Duration) bool {
	return slices.ContainsFunc(h.waiting, func(r *run) bool { return now-r.halt.at > patience })
}

// settled forgets a run that has ended.
func (h *halter) settled(r *run) {
	h.waiting = slices.DeleteFunc(h.waiting, func(one *run) bool { return one == r })
}

// forget forgets all runs: their agent's life is over.
func (h *halter) forget() { h.waiting = nil }

// add has a run halted.
func (h *halter) add(r *run) {
	h.waiting = append(h.waiting, r)
	if !h.active && h.l.d.ctx.Err() == nil {
		h.active = true
		h.l.d.calls.Go(h.loop)
	}
}

// loop sends what waits, and ends once nothing does.
func (h *halter) loop() {
	ctx := h.l.d.ctx
	for {
		runs, runner, q := h.next()
		if runs == nil {
			return
		}
		if !h.call(ctx, runs, runner, q) {
			sleep(ctx, backoff())
		}
	}
}

// next returns the runs to halt and the call for it.
func (h *halter) next() ([]*run, wire.Runner, *wire.HaltRequest) {
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

func (h *halter) call(ctx context.Context, runs []*run, runner wire.Runner, q *wire.HaltRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, haltTimeout)
	defer cancel()
	_, err := runner.Halt(ctx, q)
	d := h.l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		h.l.dropConnections()
		d.metrics.retry("halt")
		d.noteHaltUnanswered(q.GetAgent(), runs, err)
		return false
	}
	now := d.clock.Now()
	for _, r := range runs {
		r.halt.acked = true
		r.halt.ackedAt = now
		h.settled(r)
	}
	return true
}

// halt has a run stopped, or barred where its launch has not arrived. It is
// settled once its end is listed.
func (d *Desk) halt(r *run, why string, now time.Duration) {
	if r.halt.why != "" {
		return
	}
	r.halt = haltState{why: why, at: now}
	if r.link.runs[r.key()] != r {
		return
	}
	d.metrics.halt(why)
	d.noteHalted(r, why, now)
	r.link.halter.add(r)
}

// haltAgain repeats a halt whose run has not ended in time.
func (d *Desk) haltAgain(r *run, now time.Duration) {
	if !r.halt.acked || now-r.halt.ackedAt < haltAgainAfter {
		return
	}
	r.halt.acked = false
	r.halt.at = now
	r.link.halter.add(r)
}
