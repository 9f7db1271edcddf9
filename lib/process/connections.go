package process

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections holds the state of a server's open connections.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]connectionState
}

// connectionState is the state of a connection, and when it began.
type connectionState struct {
	http.ConnState
	since time.Time
}

func newConnections() *connections {
	return &connections{states: map[net.Conn]connectionState{}}
}

// set records the new state of a connection. It is the server's ConnState hook.
func (c *connections) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		c.states[conn] = connectionState{state, time.Now()}
	}
}

// count returns the number of connections with requests in flight, and of those
// without.
func (c *connections) count() (busy, quiet int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state.ConnState == http.StateActive {
			busy++
		}
	}
	return busy, len(c.states) - busy
}

// haveUnread reports whether a request may have arrived that the process has not read.
func (c *connections) haveUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if limited := toLimited(conn); limited != nil && state.ConnState != http.StateActive && limited.hasUnread() {
			return true
		}
	}
	return false
}

// oldest returns for how long the oldest request has been in flight, 0 if there is none.
func (c *connections) oldest() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest time.Duration
	for _, state := range c.states {
		if state.ConnState == http.StateActive {
			oldest = max(oldest, time.Since(state.since))
		}
	}
	return oldest
}

// closeUnused closes the connections that have never carried a request.
func (c *connections) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state.ConnState == http.StateNew {
			_ = conn.Close()
		}
	}
}
