package process

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// Gate counts work in flight and lets a shutdown wait for it.
type Gate struct {
	mu       sync.Mutex
	inFlight int
	closed   bool
	empty    chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{empty: make(chan struct{})}
}

// Enter registers one unit of work. It returns false if the gate is closed.
// Each Enter that returns true must be followed by one Leave.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.inFlight++
	return true
}

// Leave marks one unit of work as finished.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signal()
}

// Close makes all further calls of Enter fail.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.signal()
}

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// InFlight returns the number of units of work in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Wait blocks until the gate is closed and no work is in flight, or ctx ends.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return &Error{Op: "drain", Kind: KindTimeout, Err: eris.Errorf("timed out with %d requests or runs in flight", g.InFlight())}
	}
}

// signal unblocks Wait if the gate is closed and empty.
func (g *Gate) signal() {
	if g.closed && g.inFlight == 0 {
		close(g.empty)
	}
}
