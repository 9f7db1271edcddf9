package slot

import (
	"context"
	"slices"

	"skylarklane.example/lib/wire"
)

// maxWaiting bounds the queue of requests to start a task without a token at one
// worker.
const maxWaiting = 1024

// waiter is a queued request to start a task without a token.
type waiter struct {
	service string
	entry   entryID
	slot    chan *slot
}

// Acquire waits in the queue for a free slot of a service, without a token. It
// returns the backend server and the number to pass to Return. It returns
// false if the queue is full, the service has no slots, or ctx ended.
func (b *Pool) Acquire(ctx context.Context, entry *wire.Incarnation, service string) (string, uint64, bool) {
	w := &waiter{service: service, entry: idOf(entry), slot: make(chan *slot, 1)}
	if !b.enqueue(w) {
		return "", 0, false
	}
	select {
	case s := <-w.slot:
		if s == nil {
			return "", 0, false
		}
		return s.server, s.number, true
	case <-ctx.Done():
		b.dequeue(w)
		return "", 0, false
	}
}

func (b *Pool) enqueue(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasService(w.service) || len(b.waiters) >= maxWaiting {
		return false
	}
	b.waiters = append(b.waiters, w)
	b.serveWaiters()
	return true
}

// dequeue removes a waiter from the queue. A slot assigned to it in the
// meantime becomes free again.
func (b *Pool) dequeue(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	select {
	case s := <-w.slot:
		if s != nil {
			b.finish(s)
		}
	default:
	}
}

// rejectWaiters rejects the queued requests whose service has no slots any
// more.
func (b *Pool) rejectWaiters() {
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if b.hasService(w.service) {
			return false
		}
		w.slot <- nil
		return true
	})
}

func (b *Pool) hasService(service string) bool {
	return slices.ContainsFunc(b.slots, func(s *slot) bool { return s.service == service && !s.closing })
}

// serveWaiters assigns free slots to the queued requests, in order.
func (b *Pool) serveWaiters() {
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		for _, s := range b.slots {
			if s.state == free && !s.closing && s.service == w.service {
				b.assign(s, w)
				return true
			}
		}
		return false
	})
}

func (b *Pool) assign(s *slot, w *waiter) {
	b.lastNumber++
	s.number = b.lastNumber
	s.state = busy
	s.queued = true
	s.holder = w.entry
	w.slot <- s
}

func (b *Pool) waitingFor(service string) uint32 {
	n := uint32(0)
	for _, w := range b.waiters {
		if w.service == service {
			n++
		}
	}
	return n
}
