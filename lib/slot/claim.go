package slot

import (
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// Claim returns, renews and leases tokens of an entry in one step.
func (b *Pool) Claim(q *wire.ClaimRequest) *wire.ClaimReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := idOf(q.GetEntry())
	reply := &wire.ClaimReply{LeaseMillis: LeaseTime.Milliseconds()}
	for _, number := range q.GetReturned() {
		if s := b.slotByToken(number); s != nil && s.state == leased {
			b.free(s)
		}
	}
	for _, number := range q.GetRenewed() {
		if b.renew(number, entry) {
			reply.Renewed = append(reply.Renewed, number)
		}
	}
	if q.GetComplete() {
		b.reconcile(entry, q.GetRenewed())
	}
	reply.Tokens = b.grantUpTo(int(q.GetMax()), entry)
	reply.Capacities = b.capacities()
	return reply
}

// Capacities returns the slots of the worker for each service.
func (b *Pool) Capacities() []*wire.Capacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.capacities()
}

// renew extends the lease of a token and records its current holder.
func (b *Pool) renew(number uint64, entry entryID) bool {
	s := b.slotByToken(number)
	if s == nil || s.state != leased || s.closing || time.Now().After(s.until) {
		return false
	}
	s.holder = entry
	s.until = time.Now().Add(LeaseTime + leaseMargin)
	return true
}

// reconcile takes back the tokens that an entry does not know, since the
// message that granted them was lost. Tokens leased within the last
// SettleTime may still be in transit and are kept.
func (b *Pool) reconcile(entry entryID, known []uint64) {
	before := time.Now().Add(-MaxTransitTime)
	for _, s := range b.slots {
		lost := s.state == leased && s.holder == entry && s.since.Before(before)
		if lost && !slices.Contains(known, s.number) {
			b.free(s)
		}
	}
}

// grantUpTo leases at most limit free slots of each service.
func (b *Pool) grantUpTo(limit int, entry entryID) []*wire.Token {
	var tokens []*wire.Token
	granted := map[string]int{}
	for _, s := range b.slots {
		if s.state != free || granted[s.service] >= limit {
			continue
		}
		granted[s.service]++
		tokens = append(tokens, b.grant(s, entry))
	}
	return tokens
}

func (b *Pool) capacities() []*wire.Capacity {
	var all []*wire.Capacity
	for _, s := range b.slots {
		if s.closing {
			continue
		}
		n := slices.IndexFunc(all, func(c *wire.Capacity) bool { return c.GetService() == s.service })
		if n < 0 {
			n = len(all)
			all = append(all, &wire.Capacity{Service: s.service, Queued: b.waitingFor(s.service)})
		}
		all[n].Slots++
		if s.state != busy {
			all[n].Idle++
		}
	}
	return all
}
