package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the requests that crowds send, in bytes. The first two are the largest
// that callers may send.
const (
	crowdHeadBytes = 16384
	crowdBodyBytes = 262144
	// crowdLargeHeadBytes is the size of a head that exceeds the limit.
	crowdLargeHeadBytes = 65536
	// crowdEndlessBytes bounds what one client sends of a head that never ends.
	crowdEndlessBytes = 131072
)

const (
	// crowdDialTimeout bounds the time to connect and to send one part of a request.
	crowdDialTimeout = 2 * time.Second
	// crowdRounds and crowdRoundTime bound how often one client repeats its request.
	crowdRounds    = 3
	crowdRoundTime = 700 * time.Millisecond
	// crowdRequestTime bounds the rounds of complete requests with a body.
	crowdRequestTime = 2 * time.Second
	// crowdHoldTime is how long held requests stay open at least.
	crowdHoldTime = 100 * time.Millisecond
	// crowdReadBytes is what a slow client reads in crowdReadInterval, faster than what
	// counts as no progress, and crowdReceiveBuffer the buffer of its socket.
	crowdReadBytes     = 1 << 10
	crowdReadInterval  = 50 * time.Millisecond
	crowdReceiveBuffer = 4 << 10
	// crowdPause is the time before a client connects again.
	crowdPause = 10 * time.Millisecond
)

// CrowdTarget is where a crowd sends its requests.
type CrowdTarget struct {
	Address string
	// Host is the host of the requests.
	Host string
	// Path is the path of requests without a body, and BodyPath that of requests
	// with one.
	Path, BodyPath string
	// ContentType is the type of the bodies.
	ContentType string
}

// CrowdKind is a way in which the clients of a crowd use up resources of a server.
type CrowdKind struct {
	Name string
	// Clients is the number of connections.
	Clients int
	// Held reports whether the clients keep their connections open after they have
	// sent what they send.
	Held bool
	// Returns reports whether the clients come back at once, each time that their
	// connection has ended.
	Returns bool
	send    func(c *crowdClient) error
	// hold lasts until ctx or the connection ends. It is nil if the clients do nothing
	// while they keep the connection.
	hold func(ctx context.Context, c *crowdClient)
}

// CrowdKinds are the kinds of clients that exhausted the memory of a process in a
// trial, and related ones.
var CrowdKinds = []CrowdKind{
	{Name: "short lines, complete", Clients: 300, Held: false, send: func(c *crowdClient) error { return c.repeat(shortLines("\r\n")) }},
	{Name: "short lines, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.write(c.head("GET", shortLines(""))) }},
	{Name: "repeated lines, complete", Clients: 300, Held: false, send: func(c *crowdClient) error { return c.repeat(repeatedLines("a:\n", "\r\n")) }},
	{Name: "repeated lines, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.write(c.head("GET", repeatedLines("a:\n", ""))) }},
	{Name: "pipelined heads", Clients: 200, Held: true, send: func(c *crowdClient) error {
		return c.write(bytes.Repeat(c.head("GET", repeatedLines("a:\n", "\r\n")), crowdRounds))
	}},
	{Name: "malformed lines, complete", Clients: 300, Held: false, send: func(c *crowdClient) error { return c.repeat(repeatedLines("a\n", "\r\n")) }},
	{Name: "malformed lines, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.write(c.head("GET", repeatedLines(":\n", ""))) }},
	{Name: "continued lines, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.write(c.head("GET", repeatedLines(" a\n", ""))) }},
	{Name: "head over the limit", Clients: 200, Held: true, send: func(c *crowdClient) error { return c.sendLargeHead(crowdLargeHeadBytes) }},
	{Name: "head without end", Clients: 200, Held: true, send: func(c *crowdClient) error { return c.sendLargeHead(crowdEndlessBytes) }},
	{Name: "empty lines", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.sendEmptyLines("") }},
	{Name: "empty lines after a request", Clients: 300, Held: true, send: func(c *crowdClient) error {
		return c.sendEmptyLines(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", c.target.Path, c.target.Host))
	}},
	{Name: "large body, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.sendBody(crowdBodyBytes - 1) }},
	{Name: "chunked body, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.sendChunks() }},
	{Name: "long trailer, held", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.sendTrailer() }},
	{Name: "body without progress", Clients: 300, Held: true, send: func(c *crowdClient) error { return c.sendBody(0) }},
	{Name: "HTTP/2 streams, held", Clients: 40, Held: true, send: func(c *crowdClient) error { return c.sendStreams() }},
}

// SilentCrowd are clients that connect and send nothing.
func SilentCrowd(clients int) CrowdKind {
	return CrowdKind{Name: "silent", Clients: clients, Held: true, send: func(*crowdClient) error { return nil }}
}

// IdleCrowd are clients that send one request and keep the connection.
func IdleCrowd(clients int) CrowdKind {
	return CrowdKind{Name: "idle", Clients: clients, Held: true, send: func(c *crowdClient) error {
		return c.write(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.target.Path, c.target.Host))
	}}
}

// CrowdRequest is a request that one client of a crowd sends. Without a method it is a
// POST.
type CrowdRequest struct {
	Method, Path, ContentType string
	Body                      []byte
}

// bytes returns the request.
func (q CrowdRequest) bytes(host string) []byte {
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	head := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", method, q.Path, host, q.ContentType, len(q.Body))
	return append(head, q.Body...)
}

// RequestCrowd are clients that send complete requests and read the answers, some
// times. Next returns the nth request of all clients together.
func RequestCrowd(name string, clients int, next func(n uint64) CrowdRequest) CrowdKind {
	sent := &atomic.Uint64{}
	return CrowdKind{Name: name, Clients: clients, send: func(c *crowdClient) error {
		until := time.Now().Add(crowdRequestTime)
		for range crowdRounds {
			if err := c.exchange(next(sent.Add(1)), until); err != nil {
				return err
			}
		}
		return nil
	}}
}

// SlowReaders are clients that read the answers to a request slowly, and come back at
// once when their connection has ended.
func SlowReaders(name string, clients int, q CrowdRequest) CrowdKind {
	return CrowdKind{
		Name: name, Clients: clients, Held: true, Returns: true,
		send: func(c *crowdClient) error {
			if conn, ok := c.conn.(*net.TCPConn); ok {
				_ = conn.SetReadBuffer(crowdReceiveBuffer)
			}
			return c.write(q.bytes(c.target.Host))
		},
		hold: func(ctx context.Context, c *crowdClient) {
			tick := time.NewTicker(crowdReadInterval)
			defer tick.Stop()
			_ = c.conn.SetReadDeadline(time.Time{})
			defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
			for {
				if _, err := io.ReadFull(c.conn, make([]byte, crowdReadBytes)); err != nil {
					return
				}
				<-tick.C
			}
		},
	}
}

// Returning returns the kind with clients that come back at once, each time that their
// connection has ended. They read what the server sends.
func (k CrowdKind) Returning() CrowdKind {
	k.Name += ", returning"
	k.Returns = true
	if k.Held && k.hold == nil {
		k.hold = func(ctx context.Context, c *crowdClient) {
			defer context.AfterFunc(ctx, func() { _ = c.conn.Close() })()
			_, _ = io.Copy(io.Discard, c.conn)
		}
	}
	return k
}

// Times returns the kind with n times as many clients.
func (k CrowdKind) Times(n int) CrowdKind {
	k.Clients *= n
	return k
}

// Crowd is a running crowd.
type Crowd struct {
	kind    CrowdKind
	target  CrowdTarget
	dialer  net.Dialer
	sent    sync.WaitGroup
	ended   sync.WaitGroup
	release context.CancelFunc
}

// StartCrowd starts the clients, which connect from the IP address from.
func StartCrowd(kind CrowdKind, target CrowdTarget, from string) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	crowd := &Crowd{kind: kind, target: target, release: cancel,
		dialer: net.Dialer{Timeout: crowdDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}}
	for range kind.Clients {
		crowd.sent.Add(1)
		crowd.ended.Go(func() { crowd.run(ctx) })
	}
	return crowd
}

// AwaitSent waits until each client has sent its part or has failed, and the server
// has had time to read it.
func (c *Crowd) AwaitSent() {
	c.sent.Wait()
	if c.kind.Held {
		time.Sleep(crowdHoldTime)
	}
}

// Stop closes the connections.
func (c *Crowd) Stop() {
	c.release()
	c.ended.Wait()
}

// run is one client of the crowd.
func (c *Crowd) run(ctx context.Context) {
	var sent sync.Once
	defer sent.Do(c.sent.Done)
	c.connect(ctx, func() { sent.Do(c.sent.Done) })
	for c.kind.Returns && ctx.Err() == nil {
		sent.Do(c.sent.Done)
		time.Sleep(crowdPause)
		c.connect(ctx, func() {})
	}
}

// connect is one connection of a client. Sent is called once it has sent what it sends.
func (c *Crowd) connect(ctx context.Context, sent func()) {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.target.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	client := &crowdClient{conn: conn, target: c.target}
	if err := c.kind.send(client); err != nil {
		return // the server has closed the connection
	}
	sent()
	switch {
	case !c.kind.Held:
	case c.kind.hold != nil:
		c.kind.hold(ctx, client)
	default:
		<-ctx.Done()
	}
}

// crowdClient is one connection of a crowd.
type crowdClient struct {
	conn   net.Conn
	target CrowdTarget
}

func (c *crowdClient) write(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(crowdDialTimeout))
	_, err := c.conn.Write(b)
	return err
}

// head returns a request line followed by the lines.
func (c *crowdClient) head(method, lines string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, c.target.Path, c.target.Host, lines)
}

// repeat sends a complete head and reads the answer, some times.
func (c *crowdClient) repeat(lines string) error {
	head := c.head("GET", lines)
	until := time.Now().Add(crowdRoundTime)
	for range crowdRounds {
		if err := c.write(head); err != nil {
			return err
		}
		_ = c.conn.SetReadDeadline(until)
		if _, err := c.conn.Read(make([]byte, 4096)); err != nil {
			return err
		}
	}
	return nil
}

// exchange sends a request and reads its answer.
func (c *crowdClient) exchange(q CrowdRequest, until time.Time) error {
	if err := c.write(q.bytes(c.target.Host)); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(until)
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// sendLargeHead sends n bytes of a head that does not end.
func (c *crowdClient) sendLargeHead(n int) error {
	if err := c.write(c.head("GET", "")); err != nil {
		return err
	}
	for i := 0; n > 0; i++ {
		var lines bytes.Buffer
		for j := range 256 {
			fmt.Fprintf(&lines, "x%d-%d: a\r\n", i, j)
		}
		n -= lines.Len()
		if err := c.write(lines.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// sendEmptyLines sends empty lines after the first bytes.
func (c *crowdClient) sendEmptyLines(first string) error {
	if err := c.write([]byte(first)); err != nil {
		return err
	}
	lines := bytes.Repeat([]byte("\r\n"), 2048)
	for range crowdEndlessBytes / len(lines) {
		if err := c.write(lines); err != nil {
			return err
		}
	}
	return nil
}

// sendBody sends the head of a request with a large body and n bytes of the body.
func (c *crowdClient) sendBody(n int) error {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n",
		c.target.BodyPath, c.target.Host, c.target.ContentType, crowdBodyBytes)
	if err := c.write(head); err != nil {
		return err
	}
	return c.write(bytes.Repeat([]byte(" "), n))
}

// sendChunks sends a large body in chunks without the last one.
func (c *crowdClient) sendChunks() error {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		c.target.BodyPath, c.target.Host, c.target.ContentType)
	if err := c.write(head); err != nil {
		return err
	}
	const chunk = 1024
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	return c.write(bytes.Repeat([]byte(one), crowdBodyBytes/chunk))
}

// sendTrailer sends a small chunked body and a trailer of many lines that does not
// end.
func (c *crowdClient) sendTrailer() error {
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		c.target.BodyPath, c.target.Host, c.target.ContentType)
	return c.write(append(head, "1\r\n \r\n0\r\n"+shortLines("")...))
}

// Frames of HTTP/2 (RFC 9113) that sendStreams sends.
const (
	http2Preface       = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	http2Headers       = 1
	http2Settings      = 4
	http2EndHeaders    = 4
	http2Streams       = 16
	http2RepeatedField = 0xbe // the newest entry of the dynamic table
)

// sendStreams opens streams with heads of many fields, each of them one byte on the
// wire, and without the end of their body.
func (c *crowdClient) sendStreams() error {
	if err := c.write(append([]byte(http2Preface), http2Frame(http2Settings, 0, 0, nil)...)); err != nil {
		return err
	}
	for i := range http2Streams {
		fields := []byte{0x83, 0x86} // :method POST, :scheme http
		fields = append(append(fields, 0x04, byte(len(c.target.BodyPath))), c.target.BodyPath...)
		fields = append(append(fields, 0x01, byte(len(c.target.Host))), c.target.Host...)
		fields = append(fields, 0x40, 1, 'a', 0) // a field that enters the dynamic table
		fields = append(fields, bytes.Repeat([]byte{http2RepeatedField}, crowdHeadBytes-len(fields))...)
		if err := c.write(http2Frame(http2Headers, http2EndHeaders, uint32(2*i+1), fields)); err != nil {
			return err
		}
	}
	return nil
}

func http2Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	frame := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	frame = binary.BigEndian.AppendUint32(frame, stream)
	return append(frame, payload...)
}

// shortLines returns lines of four or five bytes with different names, up to the
// size of a head, followed by end.
func shortLines(end string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < crowdHeadBytes-256; i++ {
		b.WriteByte(letters[i%36])
		b.WriteByte(letters[i/36%36])
		if i >= 36*36 {
			b.WriteByte(letters[i/36/36%36])
		}
		b.WriteString(":\n")
	}
	return b.String() + end
}

// repeatedLines returns the line as often as fits into a head, followed by end.
func repeatedLines(line, end string) string {
	return strings.Repeat(line, (crowdHeadBytes-256)/len(line)) + end
}

// Get sends a request from the IP address from and returns the status of the
// answer, 0 if there is none. It uses a connection of its own.
func Get(ctx context.Context, from, address, request string) int {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return 0
	}
	var status int
	if _, err := fmt.Fscanf(conn, "HTTP/1.1 %d ", &status); err != nil {
		return 0
	}
	return status
}
