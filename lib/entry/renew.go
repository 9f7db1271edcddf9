package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/wire"
)

const (
	renewInterval = time.Second
	// renewBefore is the remaining lease time at which renewal is due at the
	// latest.
	renewBefore = slot.LeaseTime / 3
	// renewJitter spreads renewals over time, to avoid bursts.
	renewJitter  = slot.LeaseTime / 6
	claimTimeout = 2 * time.Second
	// maxConcurrentClaims bounds the concurrent Claim calls.
	maxConcurrentClaims = 32
)

// leaseRenewer periodically renews the leases of tokens, returns tokens that
// this entry no longer needs and reconciles tokens with the agents.
type leaseRenewer struct {
	d *dispatcher
}

func (r *leaseRenewer) loop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		r.d.mu.Lock()
		changed := r.d.follower.Changed()
		r.d.syncDirectory()
		r.d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			runClaims(ctx, r.dueClaims(time.Now()))
		}
	}
}

// dueClaims returns the Claim calls that are due. It also restores suspended
// tokens, dispatches the services' tasks and removes idle teams.
func (r *leaseRenewer) dueClaims(now time.Time) []*claimCall {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	var calls []*claimCall
	for _, a := range r.d.fleet.agents {
		if c := r.d.claimFor(a, now); c != nil {
			calls = append(calls, c)
		}
	}
	for _, svc := range r.d.services {
		svc.pool.restoreSuspended(now)
		r.d.dispatch(svc)
	}
	r.d.removeIdleTeams()
	return calls
}

// claimCall is a Claim call to one agent that lists all tokens of the agent that
// the entry holds, so that the agent can reclaim those that were lost.
type claimCall struct {
	d       *dispatcher
	agent   *agent
	request *wire.ClaimRequest
	// until are the lease expiries, by token number, when the call was prepared.
	until map[uint64]time.Time
}

// claimFor returns the Claim call to make to an agent, or nil if none is due. If
// the entry is leaving, it discards the tokens that the call returns.
func (d *dispatcher) claimFor(a *agent, now time.Time) *claimCall {
	c := &claimCall{d: d, agent: a, request: &wire.ClaimRequest{Entry: d.self, Complete: true}, until: map[uint64]time.Time{}}
	reconcileDue := !a.reconcileAt.IsZero() && now.After(a.reconcileAt)
	due := a.reconcile || reconcileDue
	for number, h := range a.tokens {
		if d.leaving && h.idle && h.server.serviceState.queue.tasks == 0 {
			c.request.Returned = append(c.request.Returned, number)
			d.discard(h)
			due = true
			continue
		}
		c.request.Renewed = append(c.request.Renewed, number)
		c.until[number] = h.until
		due = due || (h.idle && h.until.Sub(now) < renewBefore+rand.N(renewJitter))
	}
	if !due {
		return nil
	}
	if reconcileDue {
		a.reconcileAt = time.Time{}
	}
	if a.reconcile {
		a.reconcileAt = now.Add(reconcileDelay)
	}
	a.reconcile = false
	return c
}

func (c *claimCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := c.agent.client.Claim(ctx, c.request)
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if err != nil {
		c.agent.reconcile = true
		return
	}
	c.d.applyRenewal(c, sentAt, reply)
}

// applyRenewal applies an agent's reply. Tokens that were used since the call
// was prepared are left unchanged: their lease expiry differs from that in
// c.until.
func (d *dispatcher) applyRenewal(c *claimCall, sentAt time.Time, reply *wire.ClaimReply) {
	until := sentAt.Add(time.Duration(reply.GetLeaseMillis()) * time.Millisecond)
	renewed := map[uint64]bool{}
	for _, number := range reply.GetRenewed() {
		renewed[number] = true
	}
	for number, before := range c.until {
		h := c.agent.tokens[number]
		switch {
		case h == nil || !h.until.Equal(before):
		case renewed[number]:
			h.until = until
		case h.idle:
			d.discard(h)
		}
	}
}

// stopAcceptingTokens makes the dispatcher decline tokens; idle ones are
// returned to their agents.
func (d *dispatcher) stopAcceptingTokens() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// returnIdleTokens returns the idle tokens to their agents, once the entry is
// leaving.
func (d *dispatcher) returnIdleTokens(ctx context.Context) {
	d.mu.Lock()
	var calls []*claimCall
	for _, a := range d.fleet.agents {
		if c := d.claimFor(a, time.Now()); c != nil {
			calls = append(calls, c)
		}
	}
	d.mu.Unlock()
	runClaims(ctx, calls)
}

// runClaims runs Claim calls concurrently, at most maxConcurrentClaims at a time.
func runClaims(ctx context.Context, calls []*claimCall) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentClaims)
	for _, c := range calls {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			c.run(ctx)
		})
	}
	group.Wait()
}
