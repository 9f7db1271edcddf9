package slot

import (
	"context"
	"slices"

	"skylarklane.example/lib/wire"
)

// maxQueued bounds the number of queued requests of one worker.
const maxQueued = 1024

// waiter is a queued request to start a task without a token.
type waiter struct {
	service string
	entry   entryID
	// slot receives the assigned slot, or nil if the request is rejected.
	slot chan *slot
}

// Acquire waits in the queue for a free slot of a service and marks it as busy,
// without a token. It returns the backend server and the number to pass to
// Return. It returns false if the queue is full, the service has no slots, or
// ctx ended.
func (p *Pool) Acquire(ctx context.Context, entry *wire.Incarnation, service string) (string, uint64, bool) {
	w := &waiter{service: service, entry: idOf(entry), slot: make(chan *slot, 1)}
	if !p.enqueue(w) {
		return "", 0, false
	}
	select {
	case s := <-w.slot:
		if s == nil {
			return "", 0, false
		}
		return s.server, s.number, true
	case <-ctx.Done():
		p.dequeue(w)
		return "", 0, false
	}
}

func (p *Pool) enqueue(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasService(w.service) || len(p.waiters) >= maxQueued {
		return false
	}
	p.waiters = append(p.waiters, w)
	p.serveWaiters()
	return true
}

// dequeue removes a waiter from the queue. A slot assigned to it in the
// meantime becomes free again.
func (p *Pool) dequeue(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = slices.DeleteFunc(p.waiters, func(other *waiter) bool { return other == w })
	select {
	case s := <-w.slot:
		if s != nil {
			p.finish(s)
		}
	default:
	}
}

// rejectWaiters rejects the queued requests whose service has no slots any
// more, or all if no slots are offered.
func (p *Pool) rejectWaiters() {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if p.hasService(w.service) {
			return false
		}
		w.slot <- nil
		return true
	})
}

func (p *Pool) hasService(service string) bool {
	return !p.suspended && slices.ContainsFunc(p.slots, func(s *slot) bool { return s.service == service && !s.closing })
}

// serveWaiters assigns free slots to the queued requests, in the order of their
// arrival.
func (p *Pool) serveWaiters() {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		for _, s := range p.slots {
			if s.state == free && !s.closing && s.service == w.service {
				p.assign(s, w)
				return true
			}
		}
		return false
	})
}

func (p *Pool) assign(s *slot, w *waiter) {
	p.lastNumber++
	s.number = p.lastNumber
	s.state = busy
	s.queued = true
	s.holder = w.entry
	w.slot <- s
}

func (p *Pool) queuedCount(service string) uint32 {
	n := uint32(0)
	for _, w := range p.waiters {
		if w.service == service {
			n++
		}
	}
	return n
}
