package slot

import (
	"hash/fnv"
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

// Split leases the free slots to entries, so that each holds about as many
// slots of each backend server.
func (b *Book) Split(entries []*wire.Incarnation) map[*wire.Incarnation][]*wire.Token {
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
		entry := b.poorest(s.server, order)
		shares[entry] = append(shares[entry], b.grant(s, idOf(entry)))
	}
	return shares
}

// Revoke frees tokens that never reached an entry.
func (b *Book) Revoke(tokens []*wire.Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range tokens {
		if s := b.find(t.GetNumber()); s != nil && s.state == leased {
			b.free(s)
		}
	}
}

// rotated orders entries by name, from a place that depends on the agent, so
// that odd slots of many workers spread evenly.
func (b *Book) rotated(entries []*wire.Incarnation) []*wire.Incarnation {
	order := slices.SortedFunc(slices.Values(entries), func(a, b *wire.Incarnation) int {
		return strings.Compare(a.GetId(), b.GetId())
	})
	h := fnv.New32a()
	_, _ = h.Write([]byte(b.agent.GetId()))
	first := int(h.Sum32() % uint32(len(order)))
	return append(order[first:], order[:first]...)
}

// poorest returns the entry that holds the fewest slots of a backend server.
func (b *Book) poorest(server string, entries []*wire.Incarnation) *wire.Incarnation {
	held := map[entryID]int{}
	for _, s := range b.slots {
		if s.server == server {
			held[s.holder]++
		}
	}
	return slices.MinFunc(entries, func(x, y *wire.Incarnation) int { return held[idOf(x)] - held[idOf(y)] })
}
