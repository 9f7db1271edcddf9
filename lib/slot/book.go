// Package slot hands the idle slots of one worker out as tokens, each to one
// entry at a time.
package slot

import (
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

// leaseTime is how long an unused token stands.
const leaseTime = 5 * time.Second

// slot is one place to run a task at a backend server.
type slot struct {
	server  string
	service string
	idle    bool
}

// Book knows which slots of a worker are free and who holds the others.
type Book struct {
	agent *wire.Incarnation

	mu    sync.Mutex
	slots map[uint64]*slot
	next  uint64
}

// New returns an empty book for the agent incarnation.
func New(agent *wire.Incarnation) *Book {
	return &Book{agent: agent, slots: map[uint64]*slot{}}
}

// Open adds the slots of a backend server, once.
func (b *Book) Open(server, service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.slots {
		if s.server == server {
			return
		}
	}
	for range n {
		b.next++
		b.slots[b.next] = &slot{server: server, service: service, idle: true}
	}
}

// Close removes the slots of a backend server; its tokens are void.
func (b *Book) Close(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for number, s := range b.slots {
		if s.server == server {
			delete(b.slots, number)
		}
	}
}

// Claim leases idle slots to an entry.
func (b *Book) Claim(q *wire.ClaimRequest) *wire.ClaimReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := &wire.ClaimReply{LeaseMillis: leaseTime.Milliseconds()}
	for number, s := range b.slots {
		if !s.idle || len(reply.Tokens) >= int(q.GetMax()) {
			continue
		}
		s.idle = false
		reply.Tokens = append(reply.Tokens, b.token(number, s))
	}
	return reply
}

// Take uses a token for a start. It returns the backend server, and false
// where the token is void.
func (b *Book) Take(entry *wire.Incarnation, number uint64) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slots[number]
	if s == nil {
		return "", false
	}
	return s.server, true
}

// Return ends the use of a token and leases it to the same entry again. It
// returns nil where the slot is gone.
func (b *Book) Return(entry *wire.Incarnation, number uint64) *wire.Token {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slots[number]
	if s == nil {
		return nil
	}
	return b.token(number, s)
}

func (b *Book) token(number uint64, s *slot) *wire.Token {
	return &wire.Token{
		Agent:         b.agent,
		BackendServer: s.server,
		Service:       s.service,
		Number:        number,
		LeaseMillis:   leaseTime.Milliseconds(),
	}
}
