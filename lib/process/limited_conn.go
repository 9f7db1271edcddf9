package process

import (
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// firstBytes is the number of bytes of a head that are passed on as they arrive.
	// net/http waits for them before it regards a connection as active.
	firstBytes = 4
	// minBuffer is the first size of the buffer for a head.
	minBuffer = 1 << 10
	// maxBodyRead bounds one read of a body, so that it is charged in small parts.
	maxBodyRead = 16 << 10
	// writeChunk is the size of the parts in which answers are written, so that a
	// client that reads slowly can be told from one that does not read.
	writeChunk = 64 << 10
	// pipelinedCost is for the lines of a head that net/http parses from its buffer of
	// 4 KiB. A chunked body is passed on as it arrives, so the next head may be there.
	pipelinedCost = 4096 / 3 * lineCost
	// refusalTime and refusalBytes bound what is read from a client after its request
	// was refused, so that the answer is not lost.
	refusalTime  = 300 * time.Millisecond
	refusalBytes = 256 << 10
)

// phase is what a connection's next bytes belong to.
type phase int

const (
	// phaseHead is before and in a head.
	phaseHead phase = iota
	// phaseParsed is after the head, until the request's handler starts.
	phaseParsed
	// phaseRequest is while the request is handled.
	phaseRequest
)

// limitedConn is a connection under the limits of a process. It passes a head on to
// net/http only once it is complete and there is memory to parse it, and charges what
// it reads.
type limitedConn struct {
	net.Conn
	// tcp is Conn, or the connection below it.
	tcp     net.Conn
	limiter *Limiter
	// address has the limits of the address; nil if they are those of the process.
	address *AddressLimits
	// near is set for clients on this machine and known members.
	near bool
	// cost is charged while the connection is open.
	cost int64
	// ending is closed when the server ends the requests in flight.
	ending <-chan struct{}

	// The next fields are used by Read, which is never called concurrently, and
	// between requests.

	// buffer has bytes that were read and not passed on, of which scanned belong to the
	// head that is being read.
	buffer  []byte
	scanned int
	// store is the memory of buffer.
	store   []byte
	scanner headScanner
	// ended is set once the scanner has seen the end of the head.
	ended bool
	// complete is the number of bytes in buffer that may be passed on.
	complete int
	// jsonCall is set if the request is a call in JSON.
	jsonCall bool

	// The following fields are guarded by limiter.mu.

	phase   phase
	charged int64
	// bufferCharge is the part of charged that is for buffer.
	bufferCharge int64
	// answer is the part of charged that is for the answer, and unreserved that for a
	// pending write beyond it.
	answer, unreserved int64
	// bodyLeft is the number of bytes of the body that have not been read, -1 if
	// unknown.
	bodyLeft int64
	// used is set once a request was received.
	used bool
	// readAhead is set if net/http may have read bytes of the next request.
	readAhead bool
	// since is when the request's first byte arrived, or the connection got idle.
	since time.Time
	// receiving is set from the first byte of a head to the end of the head.
	receiving bool
	// readingSince is when a pending read of a body began, writingSince when a pending
	// write began, and answeringSince when the first large part of the answer was
	// written; zero if there is none.
	readingSince, writingSince, answeringSince time.Time
	class                                      closeClass
	element                                    *list.Element
	// waiter is set while the request waits for memory.
	waiter *waiter
	// reason is why the connection is closed, empty while it is open. abortedFor is the
	// reason for which it was aborted, if it was.
	reason, abortedFor string
	// refused is set once a body did not fit into memory, and discarding once net/http
	// only reads to the end of the request.
	refused, discarding bool
}

// newLimitedConn returns a connection that is not charged yet.
func newLimitedConn(l *Limiter, address *AddressLimits, inner net.Conn) *limitedConn {
	c := &limitedConn{Conn: inner, tcp: inner, limiter: l, address: address, cost: connectionCost}
	if t, ok := inner.(*tls.Conn); ok {
		c.tcp = t.NetConn()
		c.cost += secureCost
	}
	return c
}

// limits returns the limits that are in force for the connection.
func (c *limitedConn) limits() *Limits {
	if c.address == nil {
		return &c.limiter.limits
	}
	return c.address.current.Load()
}

// secureConn is a limitedConn over TLS. net/http asks it for the state of TLS.
type secureConn struct {
	*limitedConn
	tls *tls.Conn
}

// ConnectionState completes the handshake and returns its result. net/http calls it
// before it reads.
func (c secureConn) ConnectionState() tls.ConnectionState {
	ctx, cancel := context.WithTimeout(context.Background(), c.limits().HeadTimeout)
	defer cancel()
	err := c.tls.HandshakeContext(ctx) // reads fail with the same error
	if h, ok := c.tcp.(*handshakeConn); ok && err == nil {
		h.complete.Store(true)
	}
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil && isPlainRequest(header.RecordHeader) {
		_, _ = io.WriteString(header.Conn, plainRequestAnswer)
	}
	return c.tls.ConnectionState()
}

// plainRequestAnswer tells a client that it left out TLS. net/http answers such
// requests itself only on connections that it knows as TLS.
const plainRequestAnswer = "HTTP/1.0 400 Bad Request\r\nConnection: close\r\n\r\nThis address requires TLS.\n"

// isPlainRequest reports whether the first bytes of a connection, in place of the
// header of a TLS record, are those of an HTTP request.
func isPlainRequest(header [5]byte) bool {
	method, _, _ := strings.Cut(string(header[:]), " ")
	return slices.Contains([]string{"GET", "HEAD", "POST", "PUT", "DELET", "OPTIO", "PATCH"}, method)
}

// served returns the connection as net/http serves it.
func (c *limitedConn) served() net.Conn {
	if t, ok := c.Conn.(*tls.Conn); ok {
		return secureConn{c, t}
	}
	return c
}

// errClosed is returned by operations on a connection that was closed for a limit.
// net/http does not answer after it, as after any timeout.
var errClosed = &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}

// errOverload is returned by reads of a body that does not fit into memory.
var errOverload = &Error{Op: "read", Kind: KindOverload, Err: eris.New("the process has no memory left for the request")}

func (c *limitedConn) isClosed() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.reason != ""
}

func (c *limitedConn) isRefused() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.refused
}

// overdue returns the reason for which a time limit closes the connection, if any.
func (c *limitedConn) overdue(now time.Time) string {
	limits := c.limits()
	waited := now.Sub(c.since)
	switch {
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) > limits.BodyTimeout:
		return reasonAnswerTimeout
	case !c.readingSince.IsZero() && now.Sub(c.readingSince) > limits.BodyTimeout:
		return reasonBodyTimeout
	case c.phase != phaseHead:
		return ""
	case c.receiving && waited > limits.HeadTimeout && c.element != nil:
		return reasonHeadTimeout
	case c.receiving:
		return ""
	case !c.used && waited > min(unusedTimeout, limits.IdleTimeout):
		return reasonUnusedTimeout
	case c.used && waited > limits.IdleTimeout:
		return reasonIdleTimeout
	}
	return ""
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch c.currentPhase(len(p)) {
	case phaseHead:
		return c.readHead(p)
	case phaseParsed:
		return c.readRaw(p)
	default:
		return c.readBody(p)
	}
}

// currentPhase returns the phase of a read of n bytes. After a head, net/http reads
// single bytes until the handler starts, to learn of the end of the connection; if it
// reads more, it does not regard the head as complete.
func (c *limitedConn) currentPhase(n int) phase {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.phase == phaseParsed && n > 1 {
		c.phase = phaseHead
	}
	if c.phase == phaseHead {
		c.readAhead = false // net/http reads only if its buffer is empty
	}
	return c.phase
}

// activate is called before net/http parses a head. It charges for a head that is in
// the buffer of net/http.
func (c *limitedConn) activate() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.readAhead && c.phase == phaseHead && c.reason == "" {
		c.readAhead = false
		c.limiter.charge(c, pipelinedCost)
	}
}

// readHead passes on a part of a head: its first bytes as they arrive, so that
// net/http does not take the connection for an idle one, and the others once the head
// is complete and admitted.
func (c *limitedConn) readHead(p []byte) (int, error) {
	for c.complete == 0 {
		c.scan()
		passed := c.scanner.size - c.scanned
		switch {
		case c.scanner.size > c.limits().MaxHeadBytes:
			return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeadTooLarge)
		case passed < firstBytes && c.scanned > firstBytes-passed:
			n := copy(p, c.buffer[:firstBytes-passed])
			c.buffer, c.scanned = c.buffer[n:], c.scanned-n
			return n, nil
		case !c.ended:
			if err := c.fill(); err != nil {
				return 0, err
			}
		case !c.admit():
			return 0, c.refuse(http.StatusServiceUnavailable, reasonMemory)
		default:
			c.complete = c.scanned
			c.scanned, c.scanner, c.ended = 0, headScanner{}, false
		}
	}
	n := copy(p, c.buffer[:c.complete])
	c.buffer = c.buffer[n:]
	if c.complete -= n; c.complete == 0 {
		c.limiter.mu.Lock()
		c.phase = phaseParsed
		c.limiter.mu.Unlock()
	}
	return n, nil
}

// scan looks for the end of the head in the bytes that are new in the buffer.
func (c *limitedConn) scan() {
	if c.ended || c.scanned == len(c.buffer) {
		return
	}
	n, ended := c.scanner.scan(c.buffer[c.scanned:])
	c.scanned += n
	c.ended = ended
	c.begin()
}

// begin marks the arrival of a head's first byte.
func (c *limitedConn) begin() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.receiving || c.reason != "" {
		return
	}
	c.receiving = true
	c.since = time.Now()
	c.limiter.enqueue(c, classIncomplete)
}

// admit charges for the head that was read. It is not closed for others from now on.
func (c *limitedConn) admit() bool {
	c.limiter.mu.Lock()
	c.limiter.dequeue(c)
	c.limiter.mu.Unlock()
	return c.limiter.acquire(c, headCost(c.scanner.lines, c.scanner.size), admissionTimeout)
}

// headCost returns the charge for a head.
func headCost(lines, size int) int64 {
	return requestCost + int64(lines)*lineCost + int64(size)*byteCost
}

// fill reads more bytes into the buffer.
func (c *limitedConn) fill() error {
	if len(c.buffer) == 0 {
		c.buffer = c.store[:0]
	}
	if len(c.buffer) == cap(c.buffer) {
		size := max(minBuffer, 2*len(c.buffer))
		if !c.chargeBuffer(size) {
			return c.refuse(http.StatusServiceUnavailable, reasonMemory)
		}
		c.store = make([]byte, 0, size)
		c.buffer = append(c.store, c.buffer...)
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if n > 0 {
		return nil
	}
	return c.closedError(err)
}

// chargeBuffer charges for a buffer of the given size in place of the present one.
func (c *limitedConn) chargeBuffer(size int) bool {
	l := c.limiter
	l.mu.Lock()
	more := int64(size) - c.bufferCharge
	l.mu.Unlock()
	if more <= 0 {
		return true
	}
	if !l.acquire(c, more, admissionTimeout) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.bufferCharge += more
	return true
}

// readRaw passes on bytes as they arrive.
func (c *limitedConn) readRaw(p []byte) (int, error) {
	if len(c.buffer) > 0 {
		n := copy(p, c.buffer)
		c.buffer = c.buffer[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil {
		err = c.closedError(err)
	}
	return n, err
}

// closedError returns the error of a read, which is errClosed if a limit has closed
// the connection.
func (c *limitedConn) closedError(err error) error {
	if c.isClosed() {
		return errClosed
	}
	return err
}

// readBody reads a part of a request's body and charges for it.
func (c *limitedConn) readBody(p []byte) (int, error) {
	left, discarding, err := c.beginBodyRead()
	switch {
	case err != nil:
		return 0, err
	case left == 0:
		return c.readRaw(p)
	case left > 0:
		p = p[:min(int64(len(p)), left)]
	}
	p = p[:min(len(p), maxBodyRead)]
	n, err := c.readRaw(p)
	if c.endBodyRead() {
		return 0, errClosed
	}
	if n == 0 {
		return 0, err
	}
	if !discarding && !c.reserve(int64(n)*bodyCost) {
		if c.isClosed() {
			return 0, errClosed
		}
		// The handler must not take the body for complete. The bytes are discarded later.
		c.buffer = append(append([]byte{}, p[:n]...), c.buffer...)
		c.setRefused()
		return 0, errOverload
	}
	if !c.countBody(int64(n)) {
		return 0, errClosed
	}
	return n, err
}

// beginBodyRead marks the start of a read of a body.
func (c *limitedConn) beginBodyRead() (left int64, discarding bool, err error) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.refused && !c.discarding {
		return 0, false, errOverload
	}
	if c.bodyLeft != 0 {
		c.readingSince = time.Now()
	}
	return c.bodyLeft, c.discarding, nil
}

// endBodyRead marks the end of a read of a body. It reports whether the connection was
// closed.
func (c *limitedConn) endBodyRead() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.readingSince = time.Time{}
	return c.reason != ""
}

// countBody counts n bytes of a body that are passed on. Once the body is complete, the
// connection is no longer closed for others; it returns false if it was before.
func (c *limitedConn) countBody(n int64) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.reason != "" {
		return false
	}
	if c.bodyLeft > 0 {
		if c.bodyLeft -= n; c.bodyLeft == 0 {
			c.limiter.dequeue(c)
		}
	}
	return true
}

// setRefused marks a request whose body did not fit into memory.
func (c *limitedConn) setRefused() {
	c.limiter.mu.Lock()
	c.refused = true
	c.limiter.mu.Unlock()
	c.limiter.report(reasonMemory, c.Conn)
}

// reserve charges n bytes for the request that is being handled. One request of a
// member or of this machine may be charged more than there is.
func (c *limitedConn) reserve(n int64) bool {
	if c.near && c.limiter.exceed(c, n) {
		return true
	}
	return c.limiter.acquire(c, n, admissionTimeout)
}

// reserveAnswer charges n bytes for the answer to the request that is being handled.
func (c *limitedConn) reserveAnswer(n int64) bool {
	if !c.reserve(n) {
		if !c.isClosed() {
			c.setRefused()
		}
		return false
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.answer += n
	return true
}

// start marks the start of a request's handler. It returns false if the connection
// was closed before.
func (c *limitedConn) start(r *http.Request) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.reason != "" {
		return false
	}
	c.used = true
	c.receiving = false
	c.phase = phaseRequest
	c.bodyLeft = r.ContentLength
	c.readAhead = c.bodyLeft < 0
	// The head may have been in the buffer of net/http and was not charged then.
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	if missing := headCost(lines, 0) - (c.charged - c.cost - c.bufferCharge); missing > 0 {
		l.charge(c, missing)
	}
	if c.bodyLeft != 0 {
		l.enqueue(c, classIncomplete)
	} else {
		l.dequeue(c)
	}
	return true
}

// bodyEnded marks the end of a body whose length was not known. It returns false if
// the connection was closed before.
func (c *limitedConn) bodyEnded() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.dequeue(c)
	c.bodyLeft = 0
	c.readingSince = time.Time{} // net/http reads on, to learn of the end of the connection
	return c.reason == ""
}

// handled marks the end of a request's handler. What net/http reads of the body from
// now on is discarded.
func (c *limitedConn) handled() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.discarding = true
}

// end marks the end of a request: its memory is returned and the connection is idle.
func (c *limitedConn) end() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.reason != "" {
		return
	}
	c.phase = phaseHead
	c.receiving, c.discarding = false, false
	c.since = time.Now()
	if len(c.buffer) == 0 {
		c.buffer = nil
		if cap(c.store) > minBuffer {
			c.store = nil
		}
	}
	c.bufferCharge = int64(cap(c.store))
	l.endExceeding(c)
	c.answer, c.answeringSince = 0, time.Time{}
	l.charge(c, c.cost+c.bufferCharge-c.charged)
	l.enqueue(c, classIdle)
}

// refuse answers a request that was not handled and closes the connection.
func (c *limitedConn) refuse(status int, reason string) error {
	l := c.limiter
	l.mu.Lock()
	closed := c.reason != ""
	if !closed {
		// The connection may be closed for others while it is read to its end.
		c.since = time.Now()
		l.enqueue(c, classIncomplete)
	}
	l.mu.Unlock()
	if closed {
		return errClosed
	}
	l.report(reason, c.Conn)
	c.buffer, c.store = nil, nil
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	_ = c.CloseWrite()
	_, _ = io.CopyBuffer(io.Discard, io.LimitReader(struct{ io.Reader }{c.Conn}, refusalBytes), make([]byte, minBuffer))
	l.forget(c)
	_ = c.tcp.Close()
	return errClosed
}

// CloseWrite closes the connection for writing, if it can.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (n int, err error) {
	if !c.writing(len(p)) {
		return 0, errClosed
	}
	defer c.written()
	for n < len(p) && err == nil {
		var m int
		m, err = c.Conn.Write(p[n:min(len(p), n+writeChunk)])
		n += m
		c.progress()
	}
	return n, err
}

// writing marks a pending write, and charges for n bytes that wait to be written as far
// as no memory is reserved for them.
func (c *limitedConn) writing(n int) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.reason != "" {
		return false
	}
	c.writingSince = time.Now()
	if n > sharedPart {
		c.beginAnswer(int64(n))
	}
	c.unreserved = max(0, int64(n)-c.answer)
	c.limiter.charge(c, c.unreserved)
	return true
}

// beginAnswer marks that the answer is encoded, and returns what was reserved for that
// beyond its n bytes. The caller holds mu.
func (c *limitedConn) beginAnswer(n int64) {
	if c.answeringSince.IsZero() {
		c.answeringSince = c.writingSince
	}
	if spare := c.answer - n; spare > 0 {
		c.answer = n
		c.limiter.charge(c, -spare)
	}
}

// isSlow reports whether the client still reads a large answer, and the connection is
// not among those that may be closed yet.
func (c *limitedConn) isSlow(now time.Time) bool {
	return !c.answeringSince.IsZero() && c.element == nil && now.Sub(c.answeringSince) > slowAnswerTime
}

// progress marks that a part of a pending write was written.
func (c *limitedConn) progress() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = time.Now()
}

// written marks the end of a pending write.
func (c *limitedConn) written() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = time.Time{}
	if c.reason == "" {
		c.limiter.charge(c, -c.unreserved)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.limiter.forget(c)
	return c.Conn.Close()
}
