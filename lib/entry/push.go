package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// probeTimeout bounds the Claim call that queries a worker's queue length.
const probeTimeout = time.Second

// candidate is a worker of a service, weighted by its slots.
type candidate struct {
	agent *agent
	slots int
}

// pushToWorkers sends tasks to random workers, which queue them. It is used by
// placement policies without tokens.
func (d *dispatcher) pushToWorkers(r *run, tasks []*task) {
	candidates := d.candidates(r.serviceState.service)
	now := time.Now()
	for _, t := range tasks {
		if len(candidates) == 0 {
			d.fail(r, "noBackendServer")
			return
		}
		first := pickRandom(candidates)
		q := &queuedStart{d: d, start: start{d: d, t: t}, first: first}
		if _, probes := d.policy.(placement.TwoChoices); probes {
			q.second = pickRandom(candidates)
		}
		t.startedAt = now
		r.started[t.number] = t
		t.run.team.account = t.run.team.account.WithStarted(t.expected.Seconds())
		d.budget = d.budget.WithStart()
		d.work.Go(q.run)
	}
}

// candidates returns the workers of a service that may get tasks.
func (d *dispatcher) candidates(service string) []candidate {
	var all []candidate
	for _, a := range d.fleet.agents {
		if a.member.GetLeaving() || a.evacuated {
			continue
		}
		for _, c := range a.capacities {
			if c.GetService() == service && c.GetSlots() > 0 {
				all = append(all, candidate{agent: a, slots: int(c.GetSlots())})
			}
		}
	}
	return all
}

// pickRandom returns a random worker, weighted by its slots.
func pickRandom(workers []candidate) *agent {
	sum := 0
	for _, c := range workers {
		sum += c.slots
	}
	n := rand.N(sum)
	for _, c := range workers {
		if n < c.slots {
			return c.agent
		}
		n -= c.slots
	}
	return workers[0].agent
}

// queuedStart is a start that is queued at the worker.
type queuedStart struct {
	d     *dispatcher
	start start
	first *agent
	// second is the alternative to first; nil if there is none.
	second *agent
}

func (q *queuedStart) run() {
	a := q.first
	if q.second != nil && q.second != q.first {
		a = q.shorterQueue()
	}
	q.d.mu.Lock()
	q.start.t.server = a.queueServer(q.start.t.run.serviceState)
	q.start.t.server.running[q.start.t] = struct{}{}
	ended := q.start.t.run.ended()
	if ended {
		q.d.endStart(q.start.t)
	}
	q.d.mu.Unlock()
	if !ended {
		q.start.run()
	}
}

// shorterQueue probes both workers and returns the one with the shorter queue.
func (q *queuedStart) shorterQueue() *agent {
	lengths := make(chan int, 1)
	go func() { lengths <- q.probe(q.second) }()
	first := q.probe(q.first)
	if <-lengths < first {
		return q.second
	}
	return q.first
}

// probe returns the number of the service's tasks that run or wait at a worker,
// and the largest integer if the worker does not answer.
func (q *queuedStart) probe(a *agent) int {
	ctx, cancel := context.WithTimeout(a.alive, probeTimeout)
	defer cancel()
	q.d.scope.Counter("probes").Inc(1)
	reply, err := a.client.Claim(ctx, &wire.ClaimRequest{Entry: q.d.self})
	if err != nil {
		return int(^uint(0) >> 1)
	}
	for _, c := range reply.GetCapacities() {
		if c.GetService() == q.start.t.run.serviceState.service {
			return int(c.GetSlots()-c.GetIdle()) + int(c.GetQueued())
		}
	}
	return int(^uint(0) >> 1)
}

// queueServer returns the server state for tasks of a service in the worker's
// queue: which backend server will run them is not known when they are sent.
func (a *agent) queueServer(svc *serviceState) *server {
	return a.serverOf(&wire.Token{BackendServer: "line/" + svc.service}, svc)
}
