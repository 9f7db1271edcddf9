package process

import "container/list"

// waitClass orders the requests that wait for memory. Within a class the first to wait
// is the first to get it.
type waitClass int

const (
	// waitNear has the requests of members and of clients on this machine, waitSmall
	// the other small ones, waitBegun those that have memory already, which others wait
	// for in vain until they have it all, and waitMedium those that need little.
	waitNear waitClass = iota
	waitSmall
	waitBegun
	waitMedium
	waitLarge
	waitClasses
)

// mediumDivisor is the inverse of the part of the memory up to which the need of a
// request is medium.
const mediumDivisor = 32

// waiter is a request that waits for memory.
type waiter struct {
	conn    *limitedConn
	bytes   int64
	class   waitClass
	element *list.Element
	// granted is set if the request was charged. ended is closed once it no longer
	// waits.
	granted bool
	ended   chan struct{}
}

// waitClassOf returns the class of a request that needs n bytes more.
func (l *Limiter) waitClassOf(c *limitedConn, n int64) waitClass {
	switch {
	case c.near:
		return waitNear
	case c.charged+n <= smallRequest:
		return waitSmall
	case c.charged > smallRequest:
		return waitBegun
	case n <= l.limits.MemoryBytes/mediumDivisor:
		return waitMedium
	}
	return waitLarge
}

// wait adds a request to those that wait. The caller holds mu.
func (l *Limiter) wait(c *limitedConn, n int64) *waiter {
	w := &waiter{conn: c, bytes: n, class: l.waitClassOf(c, n), ended: make(chan struct{})}
	w.element = l.waiting[w.class].PushBack(w)
	c.waiter = w
	return w
}

// endWait takes a request out of those that wait. The caller holds mu.
func (l *Limiter) endWait(w *waiter) {
	if w == nil || w.element == nil {
		return
	}
	l.waiting[w.class].Remove(w.element)
	w.element, w.conn.waiter = nil, nil
	close(w.ended)
}

// grant gives memory to the requests that wait, in their order, as far as it goes. The
// caller holds mu.
func (l *Limiter) grant() {
	for _, queue := range l.waiting {
		for first := queue.Front(); first != nil; first = queue.Front() {
			w := first.Value.(*waiter)
			if l.used+w.bytes > l.shareOf(w.conn, w.bytes) {
				break
			}
			w.granted = true
			l.charge(w.conn, w.bytes)
			l.endWait(w)
		}
	}
}

// makeRoom closes connections for the first of the requests that wait, and returns
// them. The caller holds mu.
func (l *Limiter) makeRoom() []*limitedConn {
	var over []*limitedConn
	for _, queue := range l.waiting {
		if first := queue.Front(); first != nil {
			w := first.Value.(*waiter)
			over = append(over, l.closeFor(w.conn, w.bytes)...)
		}
	}
	return over
}

// closeFor removes connections until a request that needs n bytes more would fit once
// they have ended, and returns them. The caller holds mu.
func (l *Limiter) closeFor(c *limitedConn, n int64) []*limitedConn {
	var over []*limitedConn
	for c.reason == "" && !l.willFit(c, n) {
		victim := l.oldest(c, c.charged+n <= smallRequest)
		if victim == nil {
			break
		}
		over = append(over, victim)
	}
	return over
}
