package slot

import (
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// Claim frees the tokens that an entry returns, renews others, and leases free
// slots to the entry.
func (p *Pool) Claim(q *wire.ClaimRequest) *wire.ClaimReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := idOf(q.GetEntry())
	reply := &wire.ClaimReply{LeaseMillis: LeaseTime.Milliseconds()}
	for _, number := range q.GetReturned() {
		if s := p.slotByToken(number); s != nil && s.state == leased {
			p.free(s)
		}
	}
	for _, number := range q.GetRenewed() {
		if p.renew(number, entry) {
			reply.Renewed = append(reply.Renewed, number)
		}
	}
	if q.GetComplete() {
		p.reconcile(entry, q.GetRenewed())
	}
	reply.Tokens = p.grantUpTo(int(q.GetMax()), entry)
	reply.Capacities = p.capacities()
	return reply
}

// Capacities returns the numbers of slots, idle slots and queued requests for
// each service.
func (p *Pool) Capacities() []*wire.Capacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacities()
}

// renew extends the lease of a token and records the entry as its holder, since
// entries may pass tokens on.
func (p *Pool) renew(number uint64, entry entryID) bool {
	s := p.slotByToken(number)
	if s == nil || s.state != leased || s.closing || time.Now().After(s.leasedUntil) {
		return false
	}
	s.holder = entry
	s.leasedUntil = time.Now().Add(LeaseTime + leaseMargin)
	return true
}

// reconcile reclaims the tokens that an entry does not know because the message
// that granted them was lost. Tokens leased within the last MaxTransitTime may
// still be in transit and are kept.
func (p *Pool) reconcile(entry entryID, known []uint64) {
	before := time.Now().Add(-MaxTransitTime)
	for _, s := range p.slots {
		lost := s.state == leased && s.holder == entry && s.leasedAt.Before(before)
		if lost && !slices.Contains(known, s.number) {
			p.free(s)
		}
	}
}

// grantUpTo leases at most limit free slots of each service.
func (p *Pool) grantUpTo(limit int, entry entryID) []*wire.Token {
	if p.suspended {
		return nil
	}
	var tokens []*wire.Token
	granted := map[string]int{}
	for _, s := range p.slots {
		if s.state != free || granted[s.service] >= limit {
			continue
		}
		granted[s.service]++
		tokens = append(tokens, p.grant(s, entry))
	}
	return tokens
}

func (p *Pool) capacities() []*wire.Capacity {
	if p.suspended {
		return nil
	}
	var all []*wire.Capacity
	for _, s := range p.slots {
		if s.closing {
			continue
		}
		n := slices.IndexFunc(all, func(c *wire.Capacity) bool { return c.GetService() == s.service })
		if n < 0 {
			n = len(all)
			all = append(all, &wire.Capacity{Service: s.service, Queued: p.queuedCount(s.service)})
		}
		all[n].Slots++
		if s.state != busy {
			all[n].Idle++
		}
	}
	return all
}
