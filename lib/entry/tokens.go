package entry

import (
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// suspectTime is how long no tasks are started at an agent after a start
	// request that could not be sent or was refused for a transient reason.
	suspectTime = time.Second
	// declinedRetry is how long an agent waits before its next offer to an entry
	// that does not accept tokens.
	declinedRetry = 30 * time.Second
	// evacuatedRetry is how long an agent that has not learned of the evacuation of
	// its data centre waits before its next offer.
	evacuatedRetry = time.Second
	// unknownAgentRetry is how long an agent waits before its next offer to an
	// entry that has not seen the agent in the directory yet.
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
	if a.evacuated && len(q.GetTokens()) > 0 {
		return declined(evacuatedRetry)
	}
	d.addTokens(q.GetTokens())
	return &wire.OfferReply{}
}

// declined returns the reply to an offer whose tokens stay with the agent.
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

// sumCapacities updates the number of slots of each service, and since when it
// has had none. Slots of evacuated agents do not count.
func (d *dispatcher) sumCapacities() {
	sums := map[string]int{}
	for _, a := range d.fleet.agents {
		for _, c := range a.capacities {
			slots := int(c.GetSlots())
			if a.evacuated {
				slots = 0
			}
			sums[c.GetService()] += slots
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
	changed := map[*serviceState]bool{}
	for _, token := range tokens {
		a := d.fleet.agents[incarnationOf(token.GetAgent())]
		if a == nil || a.member.GetLeaving() || a.evacuated || a.tokens[token.GetNumber()] != nil {
			continue
		}
		svc := d.serviceState(token.GetService())
		h := &held{token: token, server: a.serverOf(token, svc), until: leaseEnd(token, now)}
		a.tokens[token.GetNumber()] = h
		svc.pool.held++
		svc.pool.put(h)
		changed[svc] = true
	}
	for svc := range changed {
		d.lendAndDispatch(svc)
	}
}

// reclaimToken returns the token of a start to its pool, or discards it if the
// agent did not renew its lease. After a transient refusal the agent still
// reserves the token's slot.
func (d *dispatcher) reclaimToken(s *start, reply *wire.StartReply) {
	h := s.h
	if h == nil || h.gone {
		return
	}
	a := h.server.agent
	switch {
	case a.gone || a.member.GetLeaving() || a.evacuated:
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

// discard removes a token from its pool.
func (d *dispatcher) discard(h *held) {
	h.server.serviceState.pool.discard(h)
}

// lendAndDispatch lends idle tokens to other entries and then starts waiting
// tasks.
func (d *dispatcher) lendAndDispatch(svc *serviceState) {
	d.lend(svc)
	d.dispatch(svc)
}

// dispatchAfterEnd dispatches after a task of the job has ended. If its team has
// a limit of running tasks, tasks of other services may start too.
func (d *dispatcher) dispatchAfterEnd(r *run) {
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
		if a.member.GetLeaving() || a.evacuated {
			d.discardIdleTokens(a)
		}
	}
	for _, t := range d.teams {
		d.setQuota(t, directory)
	}
	d.sumCapacities()
}

// dropAgent discards the tokens of an agent that has left the directory and fails
// the jobs with tasks that run there.
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

// discardIdleTokens discards the idle tokens of an agent that gets no more tasks.
func (d *dispatcher) discardIdleTokens(a *agent) {
	for _, h := range a.tokens {
		if h.idle {
			d.discard(h)
		}
	}
}

// suspect prevents starts at the agent for suspectTime.
func (a *agent) suspect(now time.Time) {
	a.suspectUntil = now.Add(suspectTime)
}

// leaseEnd returns when the entry stops using a token. The agent reserves the
// slot for longer.
func leaseEnd(token *wire.Token, now time.Time) time.Time {
	return now.Add(time.Duration(token.GetLeaseMillis()) * time.Millisecond)
}

// usesTokens reports whether the placement policy starts tasks on tokens.
func (d *dispatcher) usesTokens() bool {
	_, uses := d.policy.(placement.Tokens)
	return uses
}
