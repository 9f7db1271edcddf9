// Package slot hands out the idle slots of one worker as tokens, each to one
// entry at a time.
//
// A slot is free, leased to an entry as a token, or busy with a task. A token
// gets a new number each time the slot is granted to an entry, so that a
// request with an outdated token can be rejected.
package slot

import (
	"slices"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// LeaseTime is how long an entry may use a token without renewing it.
	// The tokens of an entry that leaves the directory are taken back at once,
	// so the lease only covers lost messages and can be long.
	LeaseTime = 2 * time.Minute
	// leaseMargin is how much longer than the entry the agent considers a
	// token leased.
	leaseMargin = 2 * time.Second
	// MaxTransitTime is the longest time that a token may be in transit between
	// processes.
	MaxTransitTime = 10 * time.Second
)

// Pool tracks which slots of a worker are free and who holds the others.
type Pool struct {
	agent *wire.Incarnation

	mu         sync.Mutex
	slots      []*slot
	lastNumber uint64
	waiters    []*waiter
	changed    chan struct{}
	version    uint64
}

// New returns an empty book for the agent incarnation.
func New(agent *wire.Incarnation) *Pool {
	return &Pool{agent: agent, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives after slots became free or the
// capacity changed.
func (b *Pool) Changed() <-chan struct{} { return b.changed }

// Version returns a number that increases with each change of the capacity.
func (b *Pool) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Open sets the number of slots of a backend server to n, all for one service.
func (b *Pool) Open(server, service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.slotsOf(server)
	if len(own) > 0 && own[0].service != service {
		b.closeServer(server)
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
		b.removeClosed()
		b.serveWaiters()
		b.bumpVersion()
	}
}

// Close removes the slots of a backend server immediately. Its tokens become
// void; tasks that are running there continue.
func (b *Pool) Close(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.slotsOf(server)) == 0 {
		return
	}
	b.closeServer(server)
	b.rejectWaiters()
	b.bumpVersion()
}

// Use uses a token to start a task. It returns the backend server, and false
// if the token is void.
func (b *Pool) Use(entry *wire.Incarnation, number uint64) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slotByToken(number)
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
// returns nil if the slot is gone or was taken without a token.
func (b *Pool) Return(entry *wire.Incarnation, number uint64) *wire.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slotByToken(number)
	switch {
	case s == nil || s.state != busy:
		return nil
	case s.closing || s.queued || s.holder != idOf(entry):
		b.finish(s)
		return nil
	}
	b.lease(s, s.holder)
	return b.token(s)
}

// Retain takes back the tokens of entries for which live returns false, and
// expired tokens. Busy slots become free when their task ends.
func (b *Pool) Retain(live func(*wire.Incarnation) bool) {
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

// lease leases a slot to an entry, starting now.
func (b *Pool) lease(s *slot, holder entryID) {
	now := time.Now()
	s.state = leased
	s.holder = holder
	s.until = now.Add(LeaseTime + leaseMargin)
	s.since = now
}

// grant leases a free slot under a new number.
func (b *Pool) grant(s *slot, holder entryID) *wire.Token {
	b.lastNumber++
	s.number = b.lastNumber
	b.lease(s, holder)
	return b.token(s)
}

// free makes a slot free and assigns it to a queued request, if there is one.
func (b *Pool) free(s *slot) {
	s.state = free
	s.number = 0
	s.holder = entryID{}
	s.queued = false
	b.serveWaiters()
	b.notify()
}

// finish frees a slot that was busy, or removes it if it is closing.
func (b *Pool) finish(s *slot) {
	if s.closing {
		b.slots = slices.DeleteFunc(b.slots, func(other *slot) bool { return other == s })
		return
	}
	b.free(s)
}

func (b *Pool) closeServer(server string) {
	for _, s := range b.slotsOf(server) {
		s.closing = true
	}
	b.removeClosed()
}

// removeClosed removes closing slots that are not running a task.
func (b *Pool) removeClosed() {
	b.slots = slices.DeleteFunc(b.slots, func(s *slot) bool { return s.closing && s.state != busy })
}

func (b *Pool) slotsOf(server string) []*slot {
	var own []*slot
	for _, s := range b.slots {
		if s.server == server {
			own = append(own, s)
		}
	}
	return own
}

// slotByToken returns the slot whose token has the given number, nil if there
// is none.
func (b *Pool) slotByToken(number uint64) *slot {
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

func (b *Pool) bumpVersion() {
	b.version++
	b.notify()
}

func (b *Pool) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (b *Pool) token(s *slot) *wire.Token {
	return &wire.Token{
		Agent:         b.agent,
		BackendServer: s.server,
		Service:       s.service,
		Number:        s.number,
		LeaseMillis:   LeaseTime.Milliseconds(),
	}
}
