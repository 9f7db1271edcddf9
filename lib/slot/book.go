// Package slot hands the idle slots of one worker out as tokens, each to one
// entry at a time.
//
// A slot is free, leased to an entry as a token, or busy with a task. A token
// has a new number with each lease to another entry, so that a start on an
// outdated token is told from one that holds.
package slot

import (
	"slices"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// LeaseTime is how long an entry may use a token that is neither used nor
	// renewed. Entries that end give their tokens back through the directory,
	// so that it only covers lost messages and can be long.
	LeaseTime = 2 * time.Minute
	// leaseMargin is how much longer the agent takes a token to be held.
	leaseMargin = 2 * time.Second
	// SettleTime is how long a token may be on its way between processes.
	SettleTime = 10 * time.Second
)

// Book knows which slots of a worker are free and who holds the others.
type Book struct {
	agent *wire.Incarnation

	mu      sync.Mutex
	slots   []*slot
	next    uint64
	waiting []*waiter
	changed chan struct{}
	version uint64
}

// New returns an empty book for the agent incarnation.
func New(agent *wire.Incarnation) *Book {
	return &Book{agent: agent, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives after slots became free or the
// capacity changed.
func (b *Book) Changed() <-chan struct{} { return b.changed }

// Version grows with each change of the capacity.
func (b *Book) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Open states that a backend server has n slots for a service.
func (b *Book) Open(server, service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.slotsOf(server)
	if len(own) > 0 && own[0].service != service {
		b.close(server)
		own = nil
	}
	changed := false
	for i, s := range own {
		if s.closing != (i >= n) {
			s.closing = i >= n
			changed = true
		}
	}
	for range n - len(own) {
		b.slots = append(b.slots, &slot{server: server, service: service})
		changed = true
	}
	if changed {
		b.dropClosing()
		b.serve()
		b.touch()
	}
}

// Close removes the slots of a backend server at once. Its tokens are void;
// tasks that run there go on.
func (b *Book) Close(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.slotsOf(server)) == 0 {
		return
	}
	b.close(server)
	b.dismiss()
	b.touch()
}

// Take uses a token for a start. It returns the backend server, and false
// where the token is void.
func (b *Book) Take(entry *wire.Incarnation, number uint64) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.find(number)
	if s == nil || s.state != leased || s.closing {
		return "", false
	}
	if time.Now().After(s.until) {
		b.free(s)
		return "", false
	}
	s.state = busy
	s.holder = idOf(entry)
	return s.server, true
}

// Return ends the use of a token and leases it to the same entry again. It
// returns nil where the slot is gone or had no token.
func (b *Book) Return(entry *wire.Incarnation, number uint64) *wire.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.find(number)
	switch {
	case s == nil || s.state != busy:
		return nil
	case s.closing || s.queued || s.holder != idOf(entry):
		b.end(s)
		return nil
	}
	b.lease(s, s.holder)
	return b.token(s)
}

// Retain takes the tokens of entries back for which live is false. Busy slots
// are free with the end of their task.
func (b *Book) Retain(live func(*wire.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, s := range b.slots {
		gone := s.state != free && !live(&wire.Incarnation{Id: s.holder.id, Number: s.holder.number})
		switch {
		case s.state == leased && (gone || now.After(s.until)):
			b.free(s)
		case s.state == busy && gone:
			s.holder = entryID{}
		}
	}
}

// lease gives a slot to an entry for the time of a lease.
func (b *Book) lease(s *slot, holder entryID) {
	now := time.Now()
	s.state = leased
	s.holder = holder
	s.until = now.Add(LeaseTime + leaseMargin)
	s.since = now
}

// grant leases a free slot under a new number.
func (b *Book) grant(s *slot, holder entryID) *wire.Token {
	b.next++
	s.number = b.next
	b.lease(s, holder)
	return b.token(s)
}

// free makes a slot available to any entry, and to waiting starts first.
func (b *Book) free(s *slot) {
	s.state = free
	s.number = 0
	s.holder = entryID{}
	s.queued = false
	b.serve()
	b.signal()
}

// end frees a slot that was busy, or drops it where it is closing.
func (b *Book) end(s *slot) {
	if s.closing {
		b.slots = slices.DeleteFunc(b.slots, func(other *slot) bool { return other == s })
		return
	}
	b.free(s)
}

func (b *Book) close(server string) {
	for _, s := range b.slotsOf(server) {
		s.closing = true
	}
	b.dropClosing()
}

// dropClosing removes closing slots that run nothing.
func (b *Book) dropClosing() {
	b.slots = slices.DeleteFunc(b.slots, func(s *slot) bool { return s.closing && s.state != busy })
}

func (b *Book) slotsOf(server string) []*slot {
	var own []*slot
	for _, s := range b.slots {
		if s.server == server {
			own = append(own, s)
		}
	}
	return own
}

// find returns the slot with the token of that number.
func (b *Book) find(number uint64) *slot {
	if number == 0 {
		return nil
	}
	for _, s := range b.slots {
		if s.number == number {
			return s
		}
	}
	return nil
}

func (b *Book) touch() {
	b.version++
	b.signal()
}

func (b *Book) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *Book) token(s *slot) *wire.Token {
	return &wire.Token{
		Agent:         b.agent,
		BackendServer: s.server,
		Service:       s.service,
		Number:        s.number,
		LeaseMillis:   LeaseTime.Milliseconds(),
	}
}
