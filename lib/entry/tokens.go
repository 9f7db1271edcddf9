package entry

import (
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// suspectTime is how long an agent that can't be reached gets no start.
	suspectTime = time.Second
	// declineTime is how long agents keep their slots where an entry does not
	// use tokens.
	declineTime = 30 * time.Second
	// strangerTime is how soon an agent that the entry does not know yet may
	// offer again.
	strangerTime = 200 * time.Millisecond
)

// offer takes tokens and capacities of an agent in.
func (d *dispatcher) offer(q *wire.OfferRequest) *wire.OfferReply {
	if incarnationOf(q.GetEntry()) != incarnationOf(d.self) {
		return declined(strangerTime)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	a := d.fleet.agents[incarnationOf(q.GetAgent())]
	if a == nil {
		return declined(strangerTime)
	}
	d.setCapacities(a, q)
	if !d.usesTokens() || d.leaving || a.member.GetLeaving() {
		return declined(declineTime)
	}
	d.accept(q.GetTokens())
	return &wire.OfferReply{}
}

func declined(retry time.Duration) *wire.OfferReply {
	return &wire.OfferReply{Declined: true, RetryMillis: retry.Milliseconds()}
}

// setCapacities notes what a worker has. Where it has less than before, the
// tokens from it are checked.
func (d *dispatcher) setCapacities(a *agent, q *wire.OfferRequest) {
	if q.GetSequence() <= a.sequence {
		return
	}
	a.sequence = q.GetSequence()
	if slotsIn(q.GetCapacities()) < slotsIn(a.capacities) {
		a.doubt = true
	}
	a.capacities = q.GetCapacities()
	d.measure()
}

func slotsIn(capacities []*wire.Capacity) int {
	sum := 0
	for _, c := range capacities {
		sum += int(c.GetSlots())
	}
	return sum
}

// measure sums the capacities of all workers up for each service.
func (d *dispatcher) measure() {
	sums := map[string]int{}
	for _, a := range d.fleet.agents {
		for _, c := range a.capacities {
			sums[c.GetService()] += int(c.GetSlots())
		}
	}
	for service := range sums {
		d.desk(service)
	}
	now := time.Now()
	for service, k := range d.desks {
		k.slots = sums[service]
		switch {
		case k.slots > 0:
			k.emptySince = time.Time{}
		case k.emptySince.IsZero():
			k.emptySince = now
		}
	}
}

// accept adds tokens that this entry now holds, and uses them.
func (d *dispatcher) accept(tokens []*wire.Token) {
	now := time.Now()
	touched := map[*desk]bool{}
	for _, token := range tokens {
		a := d.fleet.agents[incarnationOf(token.GetAgent())]
		if a == nil || a.member.GetLeaving() || a.tokens[token.GetNumber()] != nil {
			continue
		}
		k := d.desk(token.GetService())
		h := &held{token: token, server: a.serverOf(token, k), until: leaseEnd(token, now)}
		a.tokens[token.GetNumber()] = h
		k.pool.held++
		k.pool.put(h)
		touched[k] = true
	}
	for k := range touched {
		d.dispatchBack(k)
	}
}

// takeBack puts the token of a start back, or drops it where it is gone. An
// agent that refuses all starts for a moment still has the token's slot.
func (d *dispatcher) takeBack(s *start, reply *wire.StartReply) {
	h := s.h
	if h == nil || h.gone {
		return
	}
	a := h.server.agent
	switch {
	case a.gone || a.member.GetLeaving():
		d.void(h)
	case reply.GetToken() != nil:
		h.until = leaseEnd(reply.GetToken(), time.Now())
		h.server.desk.pool.put(h)
	case passing(reply.GetReason()):
		a.suspect(time.Now())
		h.server.desk.pool.put(h)
	default:
		a.doubt = true
		d.void(h)
	}
}

// void drops a token for good.
func (d *dispatcher) void(h *held) {
	h.server.desk.pool.void(h)
}

// dispatchBack shares what a desk has with other entries in need, and starts
// what waits here.
func (d *dispatcher) dispatchBack(k *desk) {
	d.lend(k)
	d.dispatch(k)
}

// proceed uses what the end of a task has freed. Where its team has a limit,
// other services may go on too.
func (d *dispatcher) proceed(r *run) {
	d.dispatchBack(r.desk)
	if r.team.account.MaxRunning == 0 || r.team.waiting == 0 {
		return
	}
	for _, k := range d.desks {
		if k != r.desk {
			d.dispatch(k)
		}
	}
}

// again queues a task that did not start.
func (d *dispatcher) again(t *task) {
	if d.usesTokens() {
		t.run.desk.queue.push(t)
		return
	}
	d.scatter(t.run, []*task{t})
}

// follow takes the newest directory in.
func (d *dispatcher) follow() {
	directory := d.follower.Directory()
	if directory.GetVersion() == d.fleet.version {
		return
	}
	for _, a := range d.fleet.follow(directory, d.self, d.client) {
		d.drop(a)
	}
	for _, a := range d.fleet.agents {
		if a.member.GetLeaving() {
			d.dropIdle(a)
		}
	}
	for _, t := range d.teams {
		d.setQuota(t, directory)
	}
	d.measure()
}

// drop fails what ran at an agent that is gone, and voids its tokens.
func (d *dispatcher) drop(a *agent) {
	for _, h := range a.tokens {
		d.void(h)
	}
	for _, s := range a.servers {
		for t := range s.running {
			d.fail(t.run, reasonLost)
		}
	}
}

// dropIdle voids the unused tokens of a leaving agent.
func (d *dispatcher) dropIdle(a *agent) {
	for _, h := range a.tokens {
		if h.idle {
			d.void(h)
		}
	}
}

// suspect keeps starts away from an agent for a while.
func (a *agent) suspect(now time.Time) {
	a.suspectUntil = now.Add(suspectTime)
}

// leaseEnd is when the entry stops using a token. The agent waits longer.
func leaseEnd(token *wire.Token, now time.Time) time.Time {
	return now.Add(time.Duration(token.GetLeaseMillis()) * time.Millisecond)
}

// usesTokens tells whether the entry holds slots.
func (d *dispatcher) usesTokens() bool {
	_, uses := d.policy.(placement.Tokens)
	return uses
}
