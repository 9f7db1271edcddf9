package slot

import (
	"hash/fnv"
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

// Split leases the free slots to entries so that the numbers of slots that they
// hold of each backend server are as equal as possible.
func (p *Pool) Split(entries []*wire.Incarnation) map[*wire.Incarnation][]*wire.Token {
	p.mu.Lock()
	defer p.mu.Unlock()
	shares := map[*wire.Incarnation][]*wire.Token{}
	if len(entries) == 0 || p.suspended {
		return shares
	}
	order := p.rotated(entries)
	for _, s := range p.slots {
		if s.state != free || s.closing {
			continue
		}
		entry := p.entryWithFewestSlots(s.server, order)
		shares[entry] = append(shares[entry], p.grant(s, idOf(entry)))
	}
	return shares
}

// Revoke frees the slots of tokens that an entry did not receive or accept.
func (p *Pool) Revoke(tokens []*wire.Token) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range tokens {
		if s := p.slotByToken(t.GetNumber()); s != nil && s.state == leased {
			p.free(s)
		}
	}
}

// rotated returns the entries sorted by id, rotated by an offset that depends
// on the agent. Split gives slots that can't be divided evenly to the first
// entries, so the offset spreads those of many workers over all entries.
func (p *Pool) rotated(entries []*wire.Incarnation) []*wire.Incarnation {
	order := slices.SortedFunc(slices.Values(entries), func(o, p *wire.Incarnation) int {
		return strings.Compare(o.GetId(), p.GetId())
	})
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.agent.GetId()))
	first := int(h.Sum32() % uint32(len(order)))
	return append(order[first:], order[:first]...)
}

// entryWithFewestSlots returns the entry that holds the fewest slots of a backend
// server.
func (p *Pool) entryWithFewestSlots(server string, entries []*wire.Incarnation) *wire.Incarnation {
	held := map[entryID]int{}
	for _, s := range p.slots {
		if s.server == server {
			held[s.holder]++
		}
	}
	return slices.MinFunc(entries, func(x, y *wire.Incarnation) int { return held[idOf(x)] - held[idOf(y)] })
}
