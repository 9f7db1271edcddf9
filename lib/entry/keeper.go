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
	keepInterval = time.Second
	// keepAhead is how long before their end leases are renewed, at least.
	keepAhead = slot.LeaseTime / 3
	// keepSpread spreads the renewals, so that they don't come in bursts.
	keepSpread   = slot.LeaseTime / 6
	claimTimeout = 2 * time.Second
	// claimsAtOnce bounds the calls on their way.
	claimsAtOnce = 32
)

// keeper renews the leases of tokens, and gives tokens back that this entry
// has no use for.
type keeper struct {
	d *dispatcher
}

func (p *keeper) loop(ctx context.Context) {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		p.d.mu.Lock()
		changed := p.d.follower.Changed()
		p.d.follow()
		p.d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			callAll(ctx, p.due(time.Now()))
		}
	}
}

// due returns the calls to make now.
func (p *keeper) due(now time.Time) []*claim {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	var calls []*claim
	for _, a := range p.d.fleet.agents {
		if c := p.d.claimOf(a, now); c != nil {
			calls = append(calls, c)
		}
	}
	for _, k := range p.d.desks {
		k.pool.sweep(now)
		p.d.dispatch(k)
	}
	p.d.sweepTeams()
	return calls
}

// claim is one call to an agent about the tokens that the entry has from it.
type claim struct {
	d       *dispatcher
	agent   *agent
	request *wire.ClaimRequest
	// until are the ends of the leases as the call was made.
	until map[uint64]time.Time
}

// claimOf returns the call that an agent needs; nil for none.
func (d *dispatcher) claimOf(a *agent, now time.Time) *claim {
	c := &claim{d: d, agent: a, request: &wire.ClaimRequest{Entry: d.self, Complete: true}, until: map[uint64]time.Time{}}
	recheck := !a.recheckAt.IsZero() && now.After(a.recheckAt)
	due := a.doubt || recheck
	for number, h := range a.tokens {
		if d.leaving && h.idle && h.server.desk.queue.tasks == 0 {
			c.request.Returned = append(c.request.Returned, number)
			d.void(h)
			due = true
			continue
		}
		c.request.Renewed = append(c.request.Renewed, number)
		c.until[number] = h.until
		due = due || (h.idle && h.until.Sub(now) < keepAhead+rand.N(keepSpread))
	}
	if !due {
		return nil
	}
	if recheck {
		a.recheckAt = time.Time{}
	}
	if a.doubt {
		a.recheckAt = now.Add(recheckDelay)
	}
	a.doubt = false
	return c
}

func (c *claim) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := c.agent.client.Claim(ctx, c.request)
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if err != nil {
		c.agent.doubt = true
		return
	}
	c.d.renewed(c, sentAt, reply)
}

// renewed takes the answer of an agent in. Tokens that were used meanwhile are
// left alone.
func (d *dispatcher) renewed(c *claim, sentAt time.Time, reply *wire.ClaimReply) {
	until := sentAt.Add(time.Duration(reply.GetLeaseMillis()) * time.Millisecond)
	kept := map[uint64]bool{}
	for _, number := range reply.GetRenewed() {
		kept[number] = true
	}
	for number, before := range c.until {
		h := c.agent.tokens[number]
		switch {
		case h == nil || !h.until.Equal(before):
		case kept[number]:
			h.until = until
		case h.idle:
			d.void(h)
		}
	}
}

// withdraw ends the taking of tokens; idle ones go back to their agents.
func (d *dispatcher) withdraw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// giveBack returns the idle tokens to their agents.
func (d *dispatcher) giveBack(ctx context.Context) {
	d.mu.Lock()
	var calls []*claim
	for _, a := range d.fleet.agents {
		if c := d.claimOf(a, time.Now()); c != nil {
			calls = append(calls, c)
		}
	}
	d.mu.Unlock()
	callAll(ctx, calls)
}

// callAll makes calls, a bounded number of them at once.
func callAll(ctx context.Context, calls []*claim) {
	var group sync.WaitGroup
	places := make(chan struct{}, claimsAtOnce)
	for _, c := range calls {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			c.run(ctx)
		})
	}
	group.Wait()
}
