package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// cancelTimeout bounds a Cancel call to an agent.
const cancelTimeout = 2 * time.Second

// lockAndFail is fail for callers that do not hold the mutex.
func (d *dispatcher) lockAndFail(r *run, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail(r, reason)
}

// addResult stores the result of a task and completes the job after the last
// one.
func (d *dispatcher) addResult(t *task, result []byte) {
	r := t.run
	if r.ended() {
		return
	}
	r.results[t.number] = result
	r.unfinished--
	if r.unfinished == 0 {
		d.complete(r)
	}
}

func (d *dispatcher) complete(r *run) {
	d.end(r, &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_COMPLETE, Results: r.results})
}

// fail ends a job as failed, unless it has ended. It removes the job's queued
// tasks and cancels the started ones.
func (d *dispatcher) fail(r *run, reason string) {
	if r.ended() {
		return
	}
	d.scope.Tagged(map[string]string{"reason": reason}).Counter("failed_jobs").Inc(1)
	d.end(r, &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reason})
	r.serviceState.queue.removeAllTasks(r)
	d.cancelStarted(r)
}

// end sets the outcome of a job and wakes the callers that wait for it.
func (d *dispatcher) end(r *run, outcome *wire.Outcome) {
	r.outcome = outcome
	if d.jobs[r.key] == r {
		delete(d.jobs, r.key)
	}
	close(r.done)
}

// cancelStarted cancels the started tasks of a job with one call per agent.
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

// cancellation is a Cancel call to one agent.
type cancellation struct {
	agent   *agent
	request *wire.CancelRequest
}

func (c *cancellation) run() {
	ctx, cancel := context.WithTimeout(c.agent.alive, cancelTimeout)
	defer cancel()
	_, _ = c.agent.client.Cancel(ctx, c.request)
}
