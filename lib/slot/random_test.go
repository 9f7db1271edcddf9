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

// model is the state as the entries know it, next to the pool under test.
type model struct {
	t    *rapid.T
	pool *Pool
	// holds maps the numbers of tokens that entries hold to the entries, busy
	// those of running tasks.
	holds map[uint64]*wire.Incarnation
	busy  map[uint64]*wire.Incarnation
	// used contains all numbers that were ever leased.
	used map[uint64]bool
}

// TestSlotInvariants runs random operations. A number must never be leased to
// two entries or used by two tasks at once, and once every task has ended and
// every lease has expired, all slots must be free again.
func TestSlotInvariants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides t.Deadline, which must not be called in a synctest bubble.
		rapid.Check(struct{ *testing.T }{t}, func(t *rapid.T) {
			m := &model{
				t: t, pool: New(agentA), holds: map[uint64]*wire.Incarnation{},
				busy: map[uint64]*wire.Incarnation{}, used: map[uint64]bool{},
			}
			m.open()
			t.Repeat(map[string]func(*rapid.T){
				"open":   func(*rapid.T) { m.open() },
				"close":  func(*rapid.T) { m.pool.Close(m.server()) },
				"claim":  func(*rapid.T) { m.claim() },
				"take":   func(*rapid.T) { m.use() },
				"return": func(*rapid.T) { m.returnToken() },
				"lose":   func(*rapid.T) { m.lose() },
				"lend":   func(*rapid.T) { m.transfer() },
				"retain": func(*rapid.T) { m.retain() },
				"sleep":  func(*rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second) },
				"":       func(*rapid.T) { m.check() },
			})
			m.endAll()
		})
	})
}

func (m *model) server() string { return rapid.SampledFrom([]string{"s1", "s2"}).Draw(m.t, "server") }

func (m *model) entry() *wire.Incarnation {
	return rapid.SampledFrom([]*wire.Incarnation{entryA, entryB}).Draw(m.t, "entry")
}

func (m *model) open() { m.pool.Open(m.server(), "sizing", rapid.IntRange(0, 4).Draw(m.t, "slots")) }

func (m *model) claim() {
	entry := m.entry()
	for _, token := range m.pool.Claim(&wire.ClaimRequest{Entry: entry, Max: 2}).GetTokens() {
		m.lease(token, entry)
	}
}

func (m *model) lease(token *wire.Token, entry *wire.Incarnation) {
	if m.used[token.GetNumber()] {
		m.t.Fatalf("token %d was leased before", token.GetNumber())
	}
	m.used[token.GetNumber()] = true
	m.holds[token.GetNumber()] = entry
}

// use starts a task with a token, which may be invalid.
func (m *model) use() {
	number := m.pick(m.holds)
	entry := m.holds[number]
	delete(m.holds, number)
	if _, ok := m.pool.Use(entry, number); !ok {
		return
	}
	if m.busy[number] != nil {
		m.t.Fatalf("token %d is used twice", number)
	}
	m.busy[number] = entry
}

func (m *model) returnToken() {
	number := m.pick(m.busy)
	entry := m.busy[number]
	delete(m.busy, number)
	if token := m.pool.Return(entry, number); token != nil {
		m.holds[token.GetNumber()] = entry
	}
}

// lose drops a token, as if the reply that granted it was lost.
func (m *model) lose() {
	delete(m.holds, m.pick(m.holds))
}

// transfer passes a token from its holder to the other entry.
func (m *model) transfer() {
	number := m.pick(m.holds)
	switch m.holds[number] {
	case entryA:
		m.holds[number] = entryB
	case entryB:
		m.holds[number] = entryA
	}
}

// pick returns a random token number from the set, 0 if it is empty.
func (m *model) pick(set map[uint64]*wire.Incarnation) uint64 {
	if len(set) == 0 {
		return 0
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(set))).Draw(m.t, "number")
}

func (m *model) retain() {
	gone := m.entry()
	m.pool.Retain(func(inc *wire.Incarnation) bool { return inc.GetId() != gone.GetId() })
}

// check compares the pool with the model.
func (m *model) check() {
	inUse := 0
	for _, s := range m.pool.slots {
		if s.state == busy {
			inUse++
		} else if s.closing {
			m.t.Fatalf("a slot of %s is closing but runs no task", s.server)
		}
	}
	if inUse != len(m.busy) {
		m.t.Fatalf("%d slots are busy, but %d tasks are running", inUse, len(m.busy))
	}
}

// endAll ends all tasks and lets all leases expire, after which every slot must
// be free.
func (m *model) endAll() {
	for len(m.busy) > 0 {
		m.returnToken()
	}
	time.Sleep(LeaseTime + leaseMargin + time.Second)
	m.pool.Retain(func(*wire.Incarnation) bool { return true })
	if free := len(claimAll(m.pool, entryA)); free != len(m.pool.slots) {
		m.t.Fatalf("%d of %d slots are free in the end", free, len(m.pool.slots))
	}
}
