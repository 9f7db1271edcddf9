// Package slot leases the free slots of one worker to entries. A leased slot is
// represented by a token, which one entry holds at a time.
//
// A slot is free, leased to an entry, or busy with a task. A free slot gets a
// new token number each time it is leased, so that a request with an outdated
// token can be rejected.
package slot

import (
	"slices"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// LeaseTime is how long an entry may use a token without renewing it. The
	// lease can be long, because it is needed only if messages are lost: the
	// tokens of an entry that leaves the directory are reclaimed at once.
	LeaseTime = 2 * time.Minute
	// leaseMargin is added to LeaseTime at the agent, so that a token expires
	// at the entry first.
	leaseMargin = 2 * time.Second
	// MaxTransitTime is the longest time that a token may be in transit between
	// processes.
	MaxTransitTime = 10 * time.Second
)

// Pool tracks which slots of a worker are free and which entries hold the
// others.
type Pool struct {
	agent *wire.Incarnation

	mu         sync.Mutex
	slots      []*slot
	lastNumber uint64
	waiters    []*waiter
	changed    chan struct{}
	version    uint64
	// suspended is set while no slots are offered.
	suspended bool
}

// New returns a pool without slots for an incarnation of the agent.
func New(agent *wire.Incarnation) *Pool {
	return &Pool{agent: agent, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives a value after slots have become free
// or the capacity has changed.
func (p *Pool) Changed() <-chan struct{} { return p.changed }

// Version returns a number that increases with each change of the capacity.
func (p *Pool) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// Open sets the number of slots of a backend server to n, all for one service.
// Surplus slots that are busy are removed when their task ends.
func (p *Pool) Open(server, service string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.slotsOf(server)
	if len(own) > 0 && own[0].service != service {
		p.closeServer(server)
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
		p.slots = append(p.slots, &slot{server: server, service: service})
		changed = true
	}
	if changed {
		p.removeClosed()
		p.serveWaiters()
		p.bumpVersion()
	}
}

// Close removes the slots of a backend server. Its tokens become invalid at
// once; tasks that are running there continue.
func (p *Pool) Close(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.slotsOf(server)) == 0 {
		return
	}
	p.closeServer(server)
	p.rejectWaiters()
	p.bumpVersion()
}

// Suspend ends or resumes the offering of slots. While it is suspended, the pool
// has no slots for entries: all tokens are invalid at once, and queued requests are
// rejected. Tasks that are running continue, and their slots stay with the pool.
func (p *Pool) Suspend(suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if suspended == p.suspended {
		return
	}
	p.suspended = suspended
	if suspended {
		p.rejectWaiters()
		p.freeLeased()
	}
	p.bumpVersion()
}

// freeLeased frees the slots that entries hold, whose tokens become invalid.
func (p *Pool) freeLeased() {
	for _, s := range p.slots {
		if s.state == leased {
			p.free(s)
		}
	}
}

// Use marks the slot of a token as busy with a task of the entry. It returns the
// backend server, and false if the token is invalid or expired.
func (p *Pool) Use(entry *wire.Incarnation, number uint64) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slotByToken(number)
	if s == nil || s.state != leased || s.closing {
		return "", false
	}
	if time.Now().After(s.leasedUntil) {
		p.free(s)
		return "", false
	}
	s.state = busy
	s.holder = idOf(entry)
	return s.server, true
}

// Return records that the task of a busy slot has ended, and leases the slot to
// the same entry again under the same number. It returns nil if the slot was
// acquired without a token, has been closed, is no longer held by the entry, or no
// slots are offered.
func (p *Pool) Return(entry *wire.Incarnation, number uint64) *wire.Token {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.slotByToken(number)
	switch {
	case s == nil || s.state != busy:
		return nil
	case s.closing || p.suspended || s.queued || s.holder != idOf(entry):
		p.finish(s)
		return nil
	}
	p.lease(s, s.holder)
	return p.token(s)
}

// Retain reclaims the tokens of entries for which live returns false, and
// expired tokens. Busy slots of such entries become free when their task ends.
func (p *Pool) Retain(live func(*wire.Incarnation) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range p.slots {
		gone := s.state != free && !live(&wire.Incarnation{Id: s.holder.id, Number: s.holder.number})
		switch {
		case s.state == leased && (gone || now.After(s.leasedUntil)):
			p.free(s)
		case s.state == busy && gone:
			s.holder = entryID{}
		}
	}
}

// lease leases a slot to an entry, starting now.
func (p *Pool) lease(s *slot, holder entryID) {
	now := time.Now()
	s.state = leased
	s.holder = holder
	s.leasedUntil = now.Add(LeaseTime + leaseMargin)
	s.leasedAt = now
}

// grant leases a free slot under a new number.
func (p *Pool) grant(s *slot, holder entryID) *wire.Token {
	p.lastNumber++
	s.number = p.lastNumber
	p.lease(s, holder)
	return p.token(s)
}

// free makes a slot free and assigns it to a queued request, if there is one.
func (p *Pool) free(s *slot) {
	s.state = free
	s.number = 0
	s.holder = entryID{}
	s.queued = false
	p.serveWaiters()
	p.notify()
}

// finish frees a busy slot, or removes it if it is closing.
func (p *Pool) finish(s *slot) {
	if s.closing {
		p.slots = slices.DeleteFunc(p.slots, func(other *slot) bool { return other == s })
		return
	}
	p.free(s)
}

func (p *Pool) closeServer(server string) {
	for _, s := range p.slotsOf(server) {
		s.closing = true
	}
	p.removeClosed()
}

// removeClosed removes closing slots that are not running a task.
func (p *Pool) removeClosed() {
	p.slots = slices.DeleteFunc(p.slots, func(s *slot) bool { return s.closing && s.state != busy })
}

func (p *Pool) slotsOf(server string) []*slot {
	var own []*slot
	for _, s := range p.slots {
		if s.server == server {
			own = append(own, s)
		}
	}
	return own
}

// slotByToken returns the slot whose token has the given number, or nil.
func (p *Pool) slotByToken(number uint64) *slot {
	if number == 0 {
		return nil
	}
	for _, s := range p.slots {
		if s.number == number {
			return s
		}
	}
	return nil
}

func (p *Pool) bumpVersion() {
	p.version++
	p.notify()
}

func (p *Pool) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *Pool) token(s *slot) *wire.Token {
	return &wire.Token{
		Agent:         p.agent,
		BackendServer: s.server,
		Service:       s.service,
		Number:        s.number,
		LeaseMillis:   LeaseTime.Milliseconds(),
	}
}
