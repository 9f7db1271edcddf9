package slot

import (
	"context"
	"slices"

	"skylarklane.example/lib/wire"
)

// maxWaiting bounds the starts without a token that wait at one worker.
const maxWaiting = 1024

// waiter is a start without a token that waits for a slot.
type waiter struct {
	service string
	entry   entryID
	slot    chan *slot
}

// Enter waits in line for a free slot of a service, without a token. It
// returns the backend server and the number to give to Return. It returns
// false where the line is full, the service has no slots, or ctx ended.
func (b *Book) Enter(ctx context.Context, entry *wire.Incarnation, service string) (string, uint64, bool) {
	w := &waiter{service: service, entry: idOf(entry), slot: make(chan *slot, 1)}
	if !b.join(w) {
		return "", 0, false
	}
	select {
	case s := <-w.slot:
		if s == nil {
			return "", 0, false
		}
		return s.server, s.number, true
	case <-ctx.Done():
		b.quit(w)
		return "", 0, false
	}
}

func (b *Book) join(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.serves(w.service) || len(b.waiting) >= maxWaiting {
		return false
	}
	b.waiting = append(b.waiting, w)
	b.serve()
	return true
}

// quit leaves the line. A slot that was given meanwhile is free again.
func (b *Book) quit(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	select {
	case s := <-w.slot:
		if s != nil {
			b.end(s)
		}
	default:
	}
}

// dismiss sends the starts away whose service has no slot any more.
func (b *Book) dismiss() {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if b.serves(w.service) {
			return false
		}
		w.slot <- nil
		return true
	})
}

func (b *Book) serves(service string) bool {
	return slices.ContainsFunc(b.slots, func(s *slot) bool { return s.service == service && !s.closing })
}

// serve gives free slots to the starts that wait, in order.
func (b *Book) serve() {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		for _, s := range b.slots {
			if s.state == free && !s.closing && s.service == w.service {
				b.give(s, w)
				return true
			}
		}
		return false
	})
}

func (b *Book) give(s *slot, w *waiter) {
	b.next++
	s.number = b.next
	s.state = busy
	s.queued = true
	s.holder = w.entry
	w.slot <- s
}

func (b *Book) waitingFor(service string) uint32 {
	n := uint32(0)
	for _, w := range b.waiting {
		if w.service == service {
			n++
		}
	}
	return n
}
