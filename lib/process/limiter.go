package process

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/metric"
)

// What connections and requests are charged, in bytes of the process's memory. The
// figures are for net/http of Go 1.26.
const (
	// connectionCost is for an open connection: its goroutines, buffers and state.
	connectionCost = 16 << 10
	// secureCost is for the buffers of TLS.
	secureCost = 32 << 10
	// requestCost is for a request besides its head and body.
	requestCost = 8 << 10
	// lineCost is for one header line besides its bytes: an entry of the header map
	// and a part of its growth. A held head of 4,000 short lines takes 80 bytes a line.
	lineCost = 128
	// byteCost is the number of bytes for each byte of a head, which is held as it
	// arrived and as strings.
	byteCost = 2
	// bodyCost is the number of bytes for each byte of a body, which is read into a
	// buffer that grows. What it is decoded to is charged by Reserve.
	bodyCost = 2
	// smallRequest is the charge up to which a request counts as small.
	smallRequest = 64 << 10
)

const (
	// admissionTimeout is how long a complete head waits for memory before it is
	// refused.
	admissionTimeout = 2 * time.Second
	// unusedTimeout is the time after which a connection that has never sent a byte is
	// closed. It exceeds the idle time that clients may take.
	unusedTimeout = 20 * time.Second
	// slowAnswerTime is the time after which the connection of a client that still reads
	// a large answer may be closed for others.
	slowAnswerTime = time.Second
	// sweepInterval is how often the time limits are checked and gauges updated.
	sweepInterval = 200 * time.Millisecond
)

// Reasons for which connections are closed or requests refused.
const (
	reasonConnections   = "maxConnections"
	reasonIncomplete    = "requestIncomplete"
	reasonIdleCrowd     = "idleInCrowd"
	reasonSlowCrowd     = "slowInCrowd"
	reasonMemory        = "memory"
	reasonHeadTooLarge  = "headTooLarge"
	reasonHeadTimeout   = "headTimeout"
	reasonBodyTimeout   = "bodyTimeout"
	reasonAnswerTimeout = "answerTimeout"
	reasonIdleTimeout   = "idleTimeout"
	reasonUnusedTimeout = "unusedTimeout"
)

// Limiter bounds what the clients of one process use of it, over all addresses at
// which the process listens.
type Limiter struct {
	limits  Limits
	log     *slog.Logger
	reports *limitReports
	// closed counts closed connections and refused requests by reason.
	closed *metric.Counters
	open   tally.Gauge
	memory tally.Gauge
	// peers returns the addresses of known members, as host:port.
	peers func() []string
	// readPeers are those of which known was made. Only updatePeers uses it.
	readPeers []string
	stop      context.CancelFunc

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
	// used is what all connections are charged, and leaving the part of connections
	// that were aborted and whose requests still hold their memory.
	used, leaving int64
	// queues hold the connections that may be closed, the longest waiting first.
	queues [closeClasses]*list.List
	// known are the addresses of known members.
	known map[netip.Addr]bool
	// exceeding is the one connection of a member or this machine that may be charged
	// more than there is.
	exceeding *limitedConn
	// waiting are the requests that wait for memory, as *waiter.
	waiting [waitClasses]*list.List
}

// closeClass orders connections by how soon they are closed for others.
type closeClass int

const (
	// classIncomplete has the connections that have not sent a whole request, classIdle
	// those without a request, and classSlow those whose clients read a large answer
	// slowly.
	classIncomplete closeClass = iota
	classIdle
	classSlow
	// The same of clients on this machine and of known members.
	classNearIncomplete
	classNearIdle
	classNearSlow
	closeClasses
)

// reason returns the reason for which connections of the class are closed for others.
func (c closeClass) reason() string {
	switch c {
	case classIdle, classNearIdle:
		return reasonIdleCrowd
	case classSlow, classNearSlow:
		return reasonSlowCrowd
	}
	return reasonIncomplete
}

// NewLimiter returns a limiter. Peers returns the addresses of known members as
// host:port, and may be nil.
func NewLimiter(limits Limits, peers func() []string, log *slog.Logger, scope tally.Scope) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		limits:  limits,
		log:     log,
		reports: newLimitReports(log),
		closed:  metric.NewReasonCounters(scope, "connections_closed"),
		open:    scope.Gauge("connections_open"),
		memory:  scope.Gauge("connections_memory_bytes"),
		peers:   peers,
		stop:    cancel,
		conns:   map[*limitedConn]struct{}{},
	}
	for i := range l.queues {
		l.queues[i] = list.New()
	}
	for i := range l.waiting {
		l.waiting[i] = list.New()
	}
	l.updatePeers()
	go l.run(ctx)
	return l
}

// Close stops the checks of the time limits.
func (l *Limiter) Close() { l.stop() }

// run checks the time limits until ctx ends.
func (l *Limiter) run(ctx context.Context) {
	timer := time.NewTimer(clock.UntilNext(sweepInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			timer.Reset(clock.UntilNext(sweepInterval))
			l.updatePeers()
			l.sweep(now)
		}
	}
}

// updatePeers reads the addresses of known members.
func (l *Limiter) updatePeers() {
	if l.peers == nil {
		return
	}
	addresses := l.peers()
	if slices.Equal(addresses, l.readPeers) {
		return
	}
	l.readPeers = addresses
	known := map[netip.Addr]bool{}
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err == nil {
			known[a.Addr().Unmap()] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = known
}

// sweep closes the connections whose time is over, and updates the gauges.
func (l *Limiter) sweep(now time.Time) {
	l.mu.Lock()
	var over []*limitedConn
	for c := range l.conns {
		switch reason := c.overdue(now); {
		case reason == "" && c.isSlow(now):
			c.since = c.answeringSince
			l.enqueue(c, classSlow)
		case reason == "", reason == reasonIdleTimeout && c.hasUnread(): // a request has arrived in time
		default:
			l.remove(c, reason)
			over = append(over, c)
		}
	}
	over = append(over, l.makeRoom()...)
	open, used := len(l.conns), l.used
	l.mu.Unlock()
	l.abort(over)
	l.reports.flush(now)
	l.open.Update(float64(open))
	l.memory.Update(float64(used))
}

// accept returns the connection under the limits, or nil if it is refused. Address is
// nil if the limits of the address are those of the process.
func (l *Limiter) accept(inner net.Conn, address *AddressLimits) *limitedConn {
	c := newLimitedConn(l, address, inner)
	l.mu.Lock()
	c.near = address == nil && l.isNear(inner) // members are not callers
	var over []*limitedConn
	maxOpen := l.limits.MaxConnections
	if !c.near {
		maxOpen -= maxOpen / 8 // the rest is for members and this machine
	}
	accepted := true
	for accepted && (len(l.conns) >= maxOpen || !l.willFit(c, c.cost)) {
		victim := l.oldest(c, true)
		if accepted = victim != nil; accepted {
			over = append(over, victim)
		}
	}
	if accepted {
		l.conns[c] = struct{}{}
		l.charge(c, c.cost)
		c.since = time.Now()
		l.enqueue(c, classIncomplete)
	}
	l.mu.Unlock()
	l.abort(over)
	if !accepted {
		_ = inner.Close()
		l.report(reasonConnections, inner)
		return nil
	}
	return c
}

// isNear reports whether the client is on this machine or a known member.
func (l *Limiter) isNear(c net.Conn) bool {
	remote, local := addressOf(c.RemoteAddr()), addressOf(c.LocalAddr())
	return remote.IsValid() && (remote == local || l.known[remote])
}

func addressOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// acquire charges a connection n bytes. It closes connections with incomplete
// requests to make room, and, if the request stays small, idle ones, until this
// connection would be the next. It then waits for others to return memory, behind those
// that wait already, at most for patience and until its server ends. It returns false if
// there is no room, or the connection itself was closed.
func (l *Limiter) acquire(c *limitedConn, n int64, patience time.Duration) bool {
	ok, w, over := l.tryAcquire(c, n)
	l.abort(over)
	if w == nil {
		return ok
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-w.ended:
	case <-c.ending:
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endWait(w)
	l.grant() // those behind it may need less
	return w.granted
}

// tryAcquire is acquire without waiting. It returns the connections to abort, and, if
// the request has to wait, its place.
func (l *Limiter) tryAcquire(c *limitedConn, n int64) (ok bool, w *waiter, over []*limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.charged+n > l.shareOf(c, n) {
		return false, nil, nil // also without others
	}
	over = l.closeFor(c, n)
	switch {
	case c.reason != "":
		return false, nil, over
	case l.waiting[l.waitClassOf(c, n)].Len() == 0 && l.used+n <= l.shareOf(c, n):
		l.charge(c, n)
		return true, nil, over
	}
	return false, l.wait(c, n), over
}

// willFit reports whether a connection may be charged n bytes more once the aborted
// connections have ended.
func (l *Limiter) willFit(c *limitedConn, n int64) bool {
	return l.used-l.leaving+n <= l.shareOf(c, n)
}

// exceed charges a request of a member or of this machine n bytes though there may be
// no room. The state that control hosts send each other may be larger than the memory
// for clients, so one request at a time may exceed it in any case, and small ones beside
// it by a quarter.
func (l *Limiter) exceed(c *limitedConn, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.limits.MemoryBytes
	switch {
	case c.reason != "":
		return false
	case l.used+n <= total:
	case c.charged+n <= smallRequest && l.used+n <= total+total/4:
	case l.exceeding == nil || l.exceeding == c:
		l.exceeding = c
	default:
		return false
	}
	l.charge(c, n)
	return true
}

// endExceeding lets another connection exceed the memory. The caller holds mu.
func (l *Limiter) endExceeding(c *limitedConn) {
	if l.exceeding == c {
		l.exceeding = nil
	}
}

// shareOf returns the memory up to which a connection may be charged n bytes more. A
// part is for small requests, and a part for members and this machine.
func (l *Limiter) shareOf(c *limitedConn, n int64) int64 {
	total := l.limits.MemoryBytes
	switch {
	case c.near:
	case c.charged+n <= smallRequest:
		total -= total / 8
	default:
		total -= total / 4
	}
	return total
}

// oldest removes the connection that is to be closed first for the given one, and
// returns it, or nil if there is none or it is the given one.
func (l *Limiter) oldest(requester *limitedConn, idle bool) *limitedConn {
	for class, queue := range l.queues {
		first := queue.Front()
		reason := closeClass(class).reason()
		switch {
		case closeClass(class) >= classNearIncomplete && !requester.near:
			return nil
		case first == nil || reason == reasonIdleCrowd && !idle:
			continue
		case first.Value == requester:
			return nil
		}
		c := first.Value.(*limitedConn)
		l.remove(c, reason)
		return c
	}
	return nil
}

// enqueue adds a connection to those that may be closed, in the order of since.
func (l *Limiter) enqueue(c *limitedConn, class closeClass) {
	l.dequeue(c)
	if c.near {
		class += classNearIncomplete
	}
	c.class = class
	queue := l.queues[class]
	for e := queue.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*limitedConn).since.After(c.since) {
			c.element = queue.InsertAfter(c, e)
			return
		}
	}
	c.element = queue.PushFront(c)
}

// dequeue protects a connection from being closed for others.
func (l *Limiter) dequeue(c *limitedConn) {
	if c.element != nil {
		l.queues[c.class].Remove(c.element)
		c.element = nil
	}
}

// charge adds n bytes, which may be negative, to what an open connection uses.
func (l *Limiter) charge(c *limitedConn, n int64) {
	c.charged += n
	l.used += n
	if n < 0 {
		l.grant()
	}
}

// remove takes a connection out of the open ones, as it is to be aborted for the given
// reason. Its memory is in use until its request has ended.
func (l *Limiter) remove(c *limitedConn, reason string) {
	l.dequeue(c)
	delete(l.conns, c)
	l.leaving += c.charged
	c.reason, c.abortedFor = reason, reason
	l.endWait(c.waiter)
}

// reasonDone marks a connection that has ended.
const reasonDone = "done"

// forget ends the accounting of a connection that has ended.
func (l *Limiter) forget(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.reason {
	case reasonDone:
		return
	case "":
		l.dequeue(c)
		delete(l.conns, c)
	default:
		l.leaving -= c.charged
	}
	c.reason = reasonDone
	l.endExceeding(c)
	l.charge(c, -c.charged)
}

// abort closes connections that were removed for the reasons that they have.
func (l *Limiter) abort(over []*limitedConn) {
	for _, c := range over {
		_ = c.tcp.Close()
		l.report(c.abortedFor, c.Conn)
	}
}

// report counts and logs a closed connection or a refused request.
func (l *Limiter) report(reason string, c net.Conn) {
	l.closed.Inc(reason)
	l.reports.add(reason, c, time.Now())
}
