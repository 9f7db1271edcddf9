package slot

import (
	"hash/fnv"
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

// Split leases the free slots to entries so that each entry holds about the
// same number of slots of each backend server.
func (b *Pool) Split(entries []*wire.Incarnation) map[*wire.Incarnation][]*wire.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	shares := map[*wire.Incarnation][]*wire.Token{}
	if len(entries) == 0 {
		return shares
	}
	order := b.rotated(entries)
	for _, s := range b.slots {
		if s.state != free || s.closing {
			continue
		}
		entry := b.entryWithFewest(s.server, order)
		shares[entry] = append(shares[entry], b.grant(s, idOf(entry)))
	}
	return shares
}

// Revoke frees tokens that did not reach an entry.
func (b *Pool) Revoke(tokens []*wire.Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range tokens {
		if s := b.slotByToken(t.GetNumber()); s != nil && s.state == leased {
			b.free(s)
		}
	}
}

// rotated returns the entries sorted by id, rotated by an offset that depends
// on the agent, so that the surplus slots of many workers are spread evenly.
func (b *Pool) rotated(entries []*wire.Incarnation) []*wire.Incarnation {
	order := slices.SortedFunc(slices.Values(entries), func(a, b *wire.Incarnation) int {
		return strings.Compare(a.GetId(), b.GetId())
	})
	h := fnv.New32a()
	_, _ = h.Write([]byte(b.agent.GetId()))
	first := int(h.Sum32() % uint32(len(order)))
	return append(order[first:], order[:first]...)
}

// entryWithFewest returns the entry that holds the fewest slots of a backend
// server.
func (b *Pool) entryWithFewest(server string, entries []*wire.Incarnation) *wire.Incarnation {
	held := map[entryID]int{}
	for _, s := range b.slots {
		if s.server == server {
			held[s.holder]++
		}
	}
	return slices.MinFunc(entries, func(x, y *wire.Incarnation) int { return held[idOf(x)] - held[idOf(y)] })
}
