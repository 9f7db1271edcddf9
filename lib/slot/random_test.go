package slot

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"skylarklane.example/lib/wire"
)

// model is what the entries believe to hold.
type model struct {
	t     *rapid.T
	book  *Book
	holds map[uint64]*wire.Incarnation
	busy  map[uint64]*wire.Incarnation
	// spent are all numbers that were ever leased.
	spent map[uint64]bool
}

// TestBookKeepsItsSlots plays random histories: a number is never leased to
// two entries or used by two tasks at once, and once every task has ended and
// every lease has run out, all slots are free again.
func TestBookKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Wrapped, so that no deadline is asked for inside the bubble.
		rapid.Check(struct{ *testing.T }{t}, func(t *rapid.T) {
			m := &model{
				t: t, book: New(agentA), holds: map[uint64]*wire.Incarnation{},
				busy: map[uint64]*wire.Incarnation{}, spent: map[uint64]bool{},
			}
			m.open()
			t.Repeat(map[string]func(*rapid.T){
				"open":   func(*rapid.T) { m.open() },
				"close":  func(*rapid.T) { m.book.Close(m.server()) },
				"claim":  func(*rapid.T) { m.claim() },
				"take":   func(*rapid.T) { m.take() },
				"return": func(*rapid.T) { m.giveBack() },
				"lose":   func(*rapid.T) { m.lose() },
				"lend":   func(*rapid.T) { m.lend() },
				"retain": func(*rapid.T) { m.retain() },
				"sleep":  func(*rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second) },
				"":       func(*rapid.T) { m.check() },
			})
			m.end()
		})
	})
}

func (m *model) server() string { return rapid.SampledFrom([]string{"s1", "s2"}).Draw(m.t, "server") }

func (m *model) entry() *wire.Incarnation {
	return rapid.SampledFrom([]*wire.Incarnation{entryA, entryB}).Draw(m.t, "entry")
}

func (m *model) open() { m.book.Open(m.server(), "sizing", rapid.IntRange(0, 4).Draw(m.t, "slots")) }

func (m *model) claim() {
	entry := m.entry()
	for _, token := range m.book.Claim(&wire.ClaimRequest{Entry: entry, Max: 2}).GetTokens() {
		m.lease(token, entry)
	}
}

func (m *model) lease(token *wire.Token, entry *wire.Incarnation) {
	if m.spent[token.GetNumber()] {
		m.t.Fatalf("number %d was leased before", token.GetNumber())
	}
	m.spent[token.GetNumber()] = true
	m.holds[token.GetNumber()] = entry
}

// take uses a token, which may be void.
func (m *model) take() {
	number := m.pick(m.holds)
	entry := m.holds[number]
	delete(m.holds, number)
	if _, ok := m.book.Take(entry, number); !ok {
		return
	}
	if m.busy[number] != nil {
		m.t.Fatalf("number %d is used twice", number)
	}
	m.busy[number] = entry
}

func (m *model) giveBack() {
	number := m.pick(m.busy)
	entry := m.busy[number]
	delete(m.busy, number)
	if token := m.book.Return(entry, number); token != nil {
		m.holds[token.GetNumber()] = entry
	}
}

// lose forgets a token, as a lost reply does.
func (m *model) lose() {
	delete(m.holds, m.pick(m.holds))
}

// lend passes a token to the other entry.
func (m *model) lend() {
	number := m.pick(m.holds)
	switch m.holds[number] {
	case entryA:
		m.holds[number] = entryB
	case entryB:
		m.holds[number] = entryA
	}
}

// pick returns a number of the set, 0 where it is empty.
func (m *model) pick(set map[uint64]*wire.Incarnation) uint64 {
	if len(set) == 0 {
		return 0
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(set))).Draw(m.t, "number")
}

func (m *model) retain() {
	gone := m.entry()
	m.book.Retain(func(who *wire.Incarnation) bool { return who.GetId() != gone.GetId() })
}

// check compares the book with what is in use.
func (m *model) check() {
	inUse := 0
	for _, s := range m.book.slots {
		if s.state == busy {
			inUse++
		} else if s.closing {
			m.t.Fatalf("a slot of %s is closing and runs nothing", s.server)
		}
	}
	if inUse != len(m.busy) {
		m.t.Fatalf("%d slots are busy, %d tasks run", inUse, len(m.busy))
	}
}

// end lets all tasks and leases end: every slot must be free.
func (m *model) end() {
	for len(m.busy) > 0 {
		m.giveBack()
	}
	time.Sleep(LeaseTime + leaseMargin + time.Second)
	m.book.Retain(func(*wire.Incarnation) bool { return true })
	if free := len(claimAll(m.book, entryA)); free != len(m.book.slots) {
		m.t.Fatalf("%d of %d slots are free in the end", free, len(m.book.slots))
	}
}
