package entry

import (
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// suspectTime is how long an agent gets no starts after a failure to reach
	// it.
	suspectTime = time.Second
	// declinedRetry is how long agents wait before they offer again to an entry
	// that does not accept tokens.
	declinedRetry = 30 * time.Second
	// unknownAgentRetry is how soon an agent may offer again if the entry has
	// not seen it in the directory yet.
	unknownAgentRetry = 200 * time.Millisecond
)

// offer accepts tokens and capacities from an agent.
func (d *dispatcher) offer(q *wire.OfferRequest) *wire.OfferReply {
	if incarnationOf(q.GetEntry()) != incarnationOf(d.self) {
		return declined(unknownAgentRetry)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDirectory()
	a := d.fleet.agents[incarnationOf(q.GetAgent())]
	if a == nil {
		return declined(unknownAgentRetry)
	}
	d.setCapacities(a, q)
	if !d.usesTokens() || d.leaving || a.member.GetLeaving() {
		return declined(declinedRetry)
	}
	d.addTokens(q.GetTokens())
	return &wire.OfferReply{}
}

func declined(retry time.Duration) *wire.OfferReply {
	return &wire.OfferReply{Declined: true, RetryMillis: retry.Milliseconds()}
}

// setCapacities stores an agent's capacities. If they have shrunk, the agent's
// tokens are reconciled.
func (d *dispatcher) setCapacities(a *agent, q *wire.OfferRequest) {
	if q.GetSequence() <= a.sequence {
		return
	}
	a.sequence = q.GetSequence()
	if totalSlots(q.GetCapacities()) < totalSlots(a.capacities) {
		a.reconcile = true
	}
	a.capacities = q.GetCapacities()
	d.sumCapacities()
}

func totalSlots(capacities []*wire.Capacity) int {
	sum := 0
	for _, c := range capacities {
		sum += int(c.GetSlots())
	}
	return sum
}

// sumCapacities updates the total slots of each service.
func (d *dispatcher) sumCapacities() {
	sums := map[string]int{}
	for _, a := range d.fleet.agents {
		for _, c := range a.capacities {
			sums[c.GetService()] += int(c.GetSlots())
		}
	}
	for service := range sums {
		d.serviceState(service)
	}
	now := time.Now()
	for service, svc := range d.services {
		svc.slots = sums[service]
		switch {
		case svc.slots > 0:
			svc.noSlotsSince = time.Time{}
		case svc.noSlotsSince.IsZero():
			svc.noSlotsSince = now
		}
	}
}

// addTokens adds tokens to the pools and dispatches tasks to them.
func (d *dispatcher) addTokens(tokens []*wire.Token) {
	now := time.Now()
	touched := map[*serviceState]bool{}
	for _, token := range tokens {
		a := d.fleet.agents[incarnationOf(token.GetAgent())]
		if a == nil || a.member.GetLeaving() || a.tokens[token.GetNumber()] != nil {
			continue
		}
		svc := d.serviceState(token.GetService())
		h := &held{token: token, server: a.serverOf(token, svc), until: leaseEnd(token, now)}
		a.tokens[token.GetNumber()] = h
		svc.pool.held++
		svc.pool.put(h)
		touched[svc] = true
	}
	for svc := range touched {
		d.lendAndDispatch(svc)
	}
}

// reclaimToken returns the token of a start to its pool, or discards it if the
// agent no longer grants it. After a transient refusal the agent still reserves
// the token's slot.
func (d *dispatcher) reclaimToken(s *start, reply *wire.StartReply) {
	h := s.h
	if h == nil || h.gone {
		return
	}
	a := h.server.agent
	switch {
	case a.gone || a.member.GetLeaving():
		d.discard(h)
	case reply.GetToken() != nil:
		h.until = leaseEnd(reply.GetToken(), time.Now())
		h.server.serviceState.pool.put(h)
	case isTransientRefusal(reply.GetReason()):
		a.suspect(time.Now())
		h.server.serviceState.pool.put(h)
	default:
		a.reconcile = true
		d.discard(h)
	}
}

// discard invalidates a token.
func (d *dispatcher) discard(h *held) {
	h.server.serviceState.pool.discard(h)
}

// lendAndDispatch lends idle tokens to other entries and then starts waiting
// tasks.
func (d *dispatcher) lendAndDispatch(svc *serviceState) {
	d.lend(svc)
	d.dispatch(svc)
}

// dispatchFreed dispatches after a task has ended. If its team has a limit,
// tasks of other services may start too.
func (d *dispatcher) dispatchFreed(r *run) {
	d.lendAndDispatch(r.serviceState)
	if r.team.account.MaxRunning == 0 || r.team.waiting == 0 {
		return
	}
	for _, svc := range d.services {
		if svc != r.serviceState {
			d.dispatch(svc)
		}
	}
}

// requeue queues a task that did not start.
func (d *dispatcher) requeue(t *task) {
	if d.usesTokens() {
		t.run.serviceState.queue.push(t)
		return
	}
	d.pushToWorkers(t.run, []*task{t})
}

// syncDirectory applies the newest directory.
func (d *dispatcher) syncDirectory() {
	directory := d.follower.Directory()
	if directory.GetVersion() == d.fleet.version {
		return
	}
	for _, a := range d.fleet.syncDirectory(directory, d.self, d.client) {
		d.dropAgent(a)
	}
	for _, a := range d.fleet.agents {
		if a.member.GetLeaving() {
			d.discardIdle(a)
		}
	}
	for _, t := range d.teams {
		d.setQuota(t, directory)
	}
	d.sumCapacities()
}

// dropAgent fails the jobs with tasks at an agent that is gone and discards its
// tokens.
func (d *dispatcher) dropAgent(a *agent) {
	for _, h := range a.tokens {
		d.discard(h)
	}
	for _, s := range a.servers {
		for t := range s.running {
			d.fail(t.run, reasonLost)
		}
	}
}

// discardIdle discards the idle tokens of a leaving agent.
func (d *dispatcher) discardIdle(a *agent) {
	for _, h := range a.tokens {
		if h.idle {
			d.discard(h)
		}
	}
}

// suspect stops starts at the agent for a while.
func (a *agent) suspect(now time.Time) {
	a.suspectUntil = now.Add(suspectTime)
}

// leaseEnd returns when the entry stops using a token. The agent keeps the slot
// reserved for longer.
func leaseEnd(token *wire.Token, now time.Time) time.Time {
	return now.Add(time.Duration(token.GetLeaseMillis()) * time.Millisecond)
}

// usesTokens reports whether the placement policy starts tasks on tokens.
func (d *dispatcher) usesTokens() bool {
	_, uses := d.policy.(placement.Tokens)
	return uses
}
