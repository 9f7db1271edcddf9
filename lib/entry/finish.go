package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// cancelTimeout bounds the call that stops tasks at an agent.
const cancelTimeout = 2 * time.Second

// stop ends a job before its time.
func (d *dispatcher) stop(r *run, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail(r, reason)
}

// done takes the result of a task in.
func (d *dispatcher) done(t *task, result []byte) {
	r := t.run
	if r.ended() {
		return
	}
	r.results[t.number] = result
	r.left--
	if r.left == 0 {
		d.complete(r)
	}
}

func (d *dispatcher) complete(r *run) {
	d.end(r, &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_COMPLETE, Results: r.results})
}

// fail ends a job without results, and stops what it has started.
func (d *dispatcher) fail(r *run, reason string) {
	if r.ended() {
		return
	}
	d.scope.Tagged(map[string]string{"reason": reason}).Counter("failed_jobs").Inc(1)
	d.end(r, &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reason})
	r.desk.queue.remove(r)
	d.cancelStarted(r)
}

func (d *dispatcher) end(r *run, outcome *wire.Outcome) {
	r.outcome = outcome
	if d.jobs[r.key] == r {
		delete(d.jobs, r.key)
	}
	close(r.done)
}

// cancelStarted stops the started tasks of a job, with one call for each
// agent.
func (d *dispatcher) cancelStarted(r *run) {
	byAgent := map[*agent][]uint32{}
	for number, t := range r.started {
		if t.server != nil {
			byAgent[t.server.agent] = append(byAgent[t.server.agent], number)
		}
	}
	for a, numbers := range byAgent {
		if a.gone {
			continue
		}
		c := &cancellation{agent: a, request: &wire.CancelRequest{Job: r.key, Tasks: numbers, Coordinator: d.self}}
		d.work.Go(c.run)
	}
}

// cancellation stops tasks at one agent.
type cancellation struct {
	agent   *agent
	request *wire.CancelRequest
}

func (c *cancellation) run() {
	ctx, cancel := context.WithTimeout(c.agent.alive, cancelTimeout)
	defer cancel()
	_, _ = c.agent.client.Cancel(ctx, c.request)
}
