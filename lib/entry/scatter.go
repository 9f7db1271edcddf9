package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// probeTimeout bounds the question how long a worker's line is.
const probeTimeout = time.Second

// place is a worker that serves a service, with a weight by its slots.
type place struct {
	agent *agent
	slots int
}

// scatter sends tasks to workers that queue them, without tokens.
func (d *dispatcher) scatter(r *run, tasks []*task) {
	places := d.places(r.desk.service)
	now := time.Now()
	for _, t := range tasks {
		if len(places) == 0 {
			d.fail(r, "noBackendServer")
			return
		}
		first := pick(places)
		q := &queued{d: d, start: start{d: d, t: t}, first: first}
		if _, probes := d.policy.(placement.TwoChoices); probes {
			q.second = pick(places)
		}
		t.startedAt = now
		r.started[t.number] = t
		t.run.team.account = t.run.team.account.WithStarted(t.expected.Seconds())
		d.budget = d.budget.WithStart()
		d.work.Go(q.run)
	}
}

// places returns the workers that serve a service.
func (d *dispatcher) places(service string) []place {
	var all []place
	for _, a := range d.fleet.agents {
		if a.member.GetLeaving() {
			continue
		}
		for _, c := range a.capacities {
			if c.GetService() == service && c.GetSlots() > 0 {
				all = append(all, place{agent: a, slots: int(c.GetSlots())})
			}
		}
	}
	return all
}

// pick returns a random worker, by the number of slots.
func pick(places []place) *agent {
	sum := 0
	for _, p := range places {
		sum += p.slots
	}
	n := rand.N(sum)
	for _, p := range places {
		if n < p.slots {
			return p.agent
		}
		n -= p.slots
	}
	return places[0].agent
}

// queued is a start that queues at a worker.
type queued struct {
	d     *dispatcher
	start start
	first *agent
	// second is the other choice; nil where there is none.
	second *agent
}

func (q *queued) run() {
	a := q.first
	if q.second != nil && q.second != q.first {
		a = q.shorter()
	}
	q.d.mu.Lock()
	q.start.t.server = a.line(q.start.t.run.desk)
	q.start.t.server.running[q.start.t] = struct{}{}
	ended := q.start.t.run.ended()
	if ended {
		q.d.leave(q.start.t)
	}
	q.d.mu.Unlock()
	if !ended {
		q.start.run()
	}
}

// shorter asks both workers and returns the one with the shorter line.
func (q *queued) shorter() *agent {
	lengths := make(chan int, 1)
	go func() { lengths <- q.probe(q.second) }()
	first := q.probe(q.first)
	if <-lengths < first {
		return q.second
	}
	return q.first
}

// probe returns how many starts are ahead at a worker.
func (q *queued) probe(a *agent) int {
	ctx, cancel := context.WithTimeout(a.alive, probeTimeout)
	defer cancel()
	q.d.scope.Counter("probes").Inc(1)
	reply, err := a.client.Claim(ctx, &wire.ClaimRequest{Entry: q.d.self})
	if err != nil {
		return int(^uint(0) >> 1)
	}
	for _, c := range reply.GetCapacities() {
		if c.GetService() == q.start.t.run.desk.service {
			return int(c.GetSlots()-c.GetIdle()) + int(c.GetQueued())
		}
	}
	return int(^uint(0) >> 1)
}

// line returns the server that stands for the whole line of a worker.
func (a *agent) line(k *desk) *server {
	return a.serverOf(&wire.Token{BackendServer: "line/" + k.service}, k)
}
