package process

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// Gate counts work in flight and lets a shutdown wait for it.
type Gate struct {
	mu     sync.Mutex
	inside int
	closed bool
	empty  chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{empty: make(chan struct{})}
}

// Enter counts one piece of work in. It returns false once the gate is closed.
// Each Enter that returned true needs one Leave.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inside++
	return true
}

// Leave counts one piece of work out.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	g.signal()
}

// Close lets nothing more in.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signal()
}

// Closed tells whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Inside returns how much work is in flight.
func (g *Gate) Inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside
}

// Wait waits until the gate is closed and nothing is inside.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return &Error{Op: "drain", Kind: KindTimeout, Err: eris.Errorf("%d still in flight", g.Inside())}
	}
}

// signal wakes the waiters once the gate is closed and empty.
func (g *Gate) signal() {
	if g.closed && g.inside == 0 {
		close(g.empty)
	}
}
