package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

// farIP is a client's address that is not that of the server.
const farIP = "127.0.0.2"

func TestHeadScanner(t *testing.T) {
	tests := []struct {
		name     string
		text     string
		n, lines int
		complete bool
	}{
		{"empty", "", 0, 0, false},
		{"request", "GET / HTTP/1.1\r\nHost: a\r\n\r\nnext", 27, 3, true},
		{"bare line feeds", "GET / HTTP/1.1\nHost: a\n\nnext", 24, 3, true},
		{"mixed", "GET / HTTP/1.1\r\nHost: a\n\r\nnext", 26, 3, true},
		{"no empty line", "GET / HTTP/1.1\r\nHost: a\r\n", 25, 2, false},
		{"empty line first", "\r\nGET", 2, 1, true},
		{"carriage returns are no empty line", "a\n\r\r\nb\n", 7, 3, false},
		{"a space is no empty line", "a\n \r\n", 5, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := headScanner{}
			n, complete := s.scan([]byte(test.text))
			is.Equal(n, test.n)
			is.Equal(s.lines, test.lines)
			is.Equal(s.size, test.n)
			is.Equal(complete, test.complete)
			s, complete = headScanner{}, false
			n = 0
			for n < len(test.text) && !complete { // in single bytes
				_, complete = s.scan([]byte(test.text[n : n+1]))
				n++
			}
			is.Equal(n, test.n)
			is.Equal(s.lines, test.lines)
			is.Equal(complete, test.complete)
		})
	}
}

// fakeConn is a connection between two addresses that carries nothing.
type fakeConn struct {
	net.Conn
	local, remote string
	closed        bool
}

func (c *fakeConn) LocalAddr() net.Addr  { return addressAt(c.local) }
func (c *fakeConn) RemoteAddr() net.Addr { return addressAt(c.remote) }
func (c *fakeConn) Close() error         { c.closed = true; return nil }

func addressAt(ip string) net.Addr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: 1} }

func newTestLimiter(t *testing.T, limits Limits, peers ...string) *Limiter {
	l := NewLimiter(limits, func() []string { return peers }, slog.New(slog.DiscardHandler), tally.NoopScope)
	t.Cleanup(l.Close)
	return l
}

// TestUnchangedPeers guards against members that parse the addresses of all others five
// times a second.
func TestUnchangedPeers(t *testing.T) {
	is := is.New(t)
	var peers []string
	for i := range 300 {
		peers = append(peers, fmt.Sprintf("10.0.%d.%d:7000", i/100, i%100))
	}
	l := NewLimiter(limitsOf(&wire.ServerLimits{}), func() []string { return peers }, slog.New(slog.DiscardHandler), tally.NoopScope)
	l.Close()
	is.Equal(testing.AllocsPerRun(10, l.updatePeers), 0.0)
	peers = []string{"10.0.0.8:7000"}
	l.updatePeers()
	isKnown := func(ip string) bool { return l.isNear(&fakeConn{local: "10.0.0.1", remote: ip}) }
	is.True(isKnown("10.0.0.8") && !isKnown("10.0.0.7"))
}

func limitsOf(cfg *wire.ServerLimits) Limits { return NewLimits(cfg) }

// TestClosingOrder guards against a connection that is closed for others before one
// that matters less, or while its request is handled.
func TestClosingOrder(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(t, limitsOf(&wire.ServerLimits{MaxConnections: 16}), "10.0.0.7:7000")
	accept := func(remote string) *limitedConn {
		return l.accept(&fakeConn{local: "10.0.0.1", remote: remote}, nil)
	}
	request := &http.Request{}
	conns := map[string]*limitedConn{}
	for _, name := range []string{"handled", "idle first", "idle second", "incomplete first", "incomplete second", "idle with a new head", "with half a body"} {
		conns[name] = accept("10.0.0.2")
	}
	conns["member"], conns["this machine"] = accept("10.0.0.7"), accept("10.0.0.1")
	is.True(conns["member"].near && conns["this machine"].near && !conns["handled"].near)
	conns["handled"].start(request)
	for _, name := range []string{"idle first", "idle second", "idle with a new head"} {
		conns[name].start(request)
		conns[name].end()
	}
	conns["idle with a new head"].begin()
	conns["with half a body"].start(&http.Request{ContentLength: 10})
	for range 16 - 2 - len(conns) { // two of 16 are not for clients that are far away
		kept := accept("10.0.0.3")
		kept.start(request)
	}
	var order []string
	for range 6 {
		next := accept("10.0.0.4")
		is.True(next != nil)
		next.start(request)
		for name, c := range conns {
			if c.isClosed() {
				order = append(order, name)
				delete(conns, name)
			}
		}
	}
	is.Equal(order, []string{"incomplete first", "incomplete second", "with half a body", "idle with a new head", "idle first", "idle second"})
	is.True(accept("10.0.0.4") == nil) // the others are handled, or of members
	near := accept("10.0.0.7")
	is.True(near != nil)
	near.start(request)
	is.True(!conns["handled"].isClosed() && !conns["member"].isClosed() && !conns["this machine"].isClosed())
}

// TestMemoryShares guards against large requests that keep small ones out, and against
// clients that keep members out.
func TestMemoryShares(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(t, limitsOf(&wire.ServerLimits{MemoryBytes: 8 << 20}), "10.0.0.7:7000")
	accept := func(remote string) *limitedConn {
		c := l.accept(&fakeConn{local: "10.0.0.1", remote: remote}, nil)
		c.start(&http.Request{})
		return c
	}
	large, small, member, other := accept("10.0.0.2"), accept("10.0.0.2"), accept("10.0.0.7"), accept("10.0.0.7")
	n := 0
	for l.acquire(large, 512<<10, 0) {
		n++
	}
	is.Equal(n, 11) // below three quarters of the memory
	is.True(l.acquire(small, 32<<10, 0))
	l.charge(large, 1<<20)
	is.True(!l.acquire(small, 32<<10, 0)) // above seven eighths
	is.True(l.acquire(member, 512<<10, 0))
	is.True(member.reserve(16 << 20)) // the state of the control group may be large
	is.True(!l.exceed(other, 1<<20))  // but only one request at a time
	large.end()
	member.end()
	is.True(l.acquire(small, 32<<10, 0))
	is.True(other.reserve(16 << 20))
	for _, c := range []*limitedConn{large, small, member, other} {
		l.forget(c)
	}
	is.Equal(l.used, int64(0))
	is.Equal(len(l.conns), 0)
}

// TestAbortedMemory guards against memory that is given to others while the handler of
// an aborted connection still holds it.
func TestAbortedMemory(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter(t, limitsOf(&wire.ServerLimits{MemoryBytes: 4 << 20}))
	first := l.accept(&fakeConn{local: "10.0.0.1", remote: "10.0.0.2"}, nil)
	first.start(&http.Request{ContentLength: 10 << 20})
	is.True(l.acquire(first, 2<<20, 0))
	second := l.accept(&fakeConn{local: "10.0.0.1", remote: "10.0.0.2"}, nil)
	second.start(&http.Request{})
	is.True(!l.acquire(second, 2<<20, 0))
	is.True(first.isClosed())
	l.forget(first)
	is.True(l.acquire(second, 2<<20, 0))
	l.forget(second)
	is.Equal(l.used, int64(0))
	is.Equal(l.leaving, int64(0))
}

// TestWaitForMemory guards against a request that is refused though the memory of
// others is returned soon.
func TestWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLimiter(t, limitsOf(&wire.ServerLimits{MemoryBytes: 4 << 20}))
		defer l.Close()
		accept := func() *limitedConn {
			c := l.accept(&fakeConn{local: "10.0.0.1", remote: "10.0.0.2"}, nil)
			c.start(&http.Request{})
			return c
		}
		first, second := accept(), accept()
		is.True(l.acquire(first, 2<<20, 0))
		time.AfterFunc(admissionTimeout/2, first.end)
		began := time.Now()
		is.True(l.acquire(second, 2<<20, admissionTimeout))
		is.Equal(time.Since(began), admissionTimeout/2)
		third := accept()
		is.True(!l.acquire(third, 2<<20, admissionTimeout))
		is.Equal(time.Since(began), 3*admissionTimeout/2)
	})
}

// TestWaitingOrder guards against a request that waits for memory longer than those
// that came later, and against small ones that wait behind large ones.
func TestWaitingOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLimiter(t, limitsOf(&wire.ServerLimits{MemoryBytes: 64 << 20}))
		defer l.Close()
		accept := func() *limitedConn {
			c := l.accept(&fakeConn{local: "10.0.0.1", remote: "10.0.0.2"}, nil)
			c.start(&http.Request{})
			return c
		}
		giveBack := func(c *limitedConn) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.charge(c, -1<<20)
		}
		const waiters = 200
		late := accept()
		var waiting []*limitedConn
		for range waiters {
			waiting = append(waiting, accept())
		}
		holder := accept()
		for l.acquire(holder, 1<<20, 0) {
		}
		var mu sync.Mutex
		var order []int
		for i, c := range waiting {
			go func() {
				if l.acquire(c, 1<<20, admissionTimeout) {
					mu.Lock()
					order = append(order, i)
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
					giveBack(c)
				}
			}()
			synctest.Wait()
		}
		is.True(l.acquire(accept(), 1<<10, 0)) // a small one has its own share
		giveBack(holder)
		synctest.Wait()
		is.True(!l.acquire(late, 1<<20, 0)) // the others were first
		time.Sleep(admissionTimeout)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(len(order), waiters)
		is.True(slices.IsSorted(order))
	})
}

// TestLimitReports guards against clients that choose the volume of the log.
func TestLimitReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		l := NewLimiter(limitsOf(&wire.ServerLimits{}), nil, slog.New(slog.NewJSONHandler(&lines, nil)), tally.NoopScope)
		for range 1000 {
			l.report(reasonHeadTooLarge, &fakeConn{local: "10.0.0.1", remote: "10.0.0.2"})
			l.report(reasonMemory, &fakeConn{local: "10.0.0.1", remote: "10.0.0.3"})
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(2 * limitReportInterval)
		l.Close()
		synctest.Wait()
		counted, logged := map[string]int{}, 0
		for d := json.NewDecoder(&lines); d.More(); logged++ {
			var line struct {
				Reason      string
				Connections int
			}
			is.NoErr(d.Decode(&line))
			counted[line.Reason] += line.Connections
		}
		is.Equal(counted, map[string]int{reasonHeadTooLarge: 1000, reasonMemory: 1000})
		is.True(logged <= 2*4) // one a reason and second
	})
}

// startLimited starts a server under the limits at a loopback address.
func startLimited(t *testing.T, limits Limits, h http.HandlerFunc) (*Server, *Limiter) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	is.New(t).NoErr(err)
	l := newTestLimiter(t, limits)
	s := NewServer(listener, h, l, slog.New(slog.DiscardHandler))
	t.Cleanup(s.Close)
	return s, l
}

// dialFar connects from an address that is not the server's.
func dialFar(t *testing.T, s *Server) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(farIP)}}
	c, err := dialer.Dial("tcp", s.Address())
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	return c
}

// await waits until a condition holds.
func await(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out: " + what)
		}
	}
}

func (l *Limiter) usage() (open int, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.used
}

// TestLegalRequests guards against limits that refuse a single request of legal size.
func TestLegalRequests(t *testing.T) {
	shortLines := strings.Repeat("a:\n", (16384-60)/3)
	tests := []struct {
		name    string
		request string
		status  int
	}{
		{"three-byte lines", "GET / HTTP/1.1\r\nHost: a\r\n" + shortLines + "\r\n", 200},
		{"one long line", "GET / HTTP/1.1\r\nHost: a\r\nb: " + strings.Repeat("c", 16384-60) + "\r\n\r\n", 200},
		{"three-byte lines and the body of a job", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n" + shortLines + "\r\n" + strings.Repeat(" ", 262144), 200},
		{"body of a configuration", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat(" ", 4<<20), 200},
		{"head over the limit", "GET / HTTP/1.1\r\nHost: a\r\nb: " + strings.Repeat("c", defaultMaxHeadBytes) + "\r\n\r\n", 431},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, l := startLimited(t, DeriveLimits(144<<20, 3075), func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.ReadAll(r.Body)
				is.NoErr(err)
			})
			c := dialFar(t, s)
			go func() { _, _ = io.WriteString(c, test.request) }()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			c.Close()
			await(t, "all memory is returned", func() bool { open, used := l.usage(); return open == 0 && used == 0 })
		})
	}
}

// TestRequestsInParts guards against requests that are lost or mixed up because of the
// places at which their bytes are cut.
func TestRequestsInParts(t *testing.T) {
	const (
		get     = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
		sized   = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n\r\n\r\nGET"
		chunked = "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n\r\n\r\n0\r\n\r\n"
	)
	text := get + sized + "\r\n" + chunked + get + chunked + chunked + sized + get + sized + get + get
	want := []string{"/a ", "/b \r\n\r\nGET", "/c abc\r\n", "/a ", "/c abc\r\n", "/c abc\r\n", "/b \r\n\r\nGET", "/a ", "/b \r\n\r\nGET", "/a ", "/a "}
	s, l := startLimited(t, NewLimits(nil), func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s", r.URL.Path, b)
	})
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			c := dialFar(t, s)
			random := rand.New(rand.NewPCG(seed, 0))
			go func() {
				size := 1 + random.IntN(200)
				for rest := text; rest != ""; {
					n := min(len(rest), 1+random.IntN(size))
					_, _ = io.WriteString(c, rest[:n])
					rest = rest[n:]
					if random.IntN(3) == 0 {
						time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
					}
				}
			}()
			answers := bufio.NewReader(c)
			for _, expected := range want {
				response, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				b, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(b), expected)
			}
			c.Close()
		})
	}
	await(t, "all memory is returned", func() bool { open, used := l.usage(); return open == 0 && used == 0 })
}

// TestTimeLimits guards against clients that hold a connection by sending nothing more,
// or by not reading their answer.
func TestTimeLimits(t *testing.T) {
	limits := NewLimits(&wire.ServerLimits{HeadTimeoutMillis: 100, BodyTimeoutMillis: 100, IdleTimeoutMillis: 100})
	tests := []struct {
		name string
		sent string
	}{
		{"nothing", ""},
		{"part of a head", "GET / HTTP/1.1\r\nHost"},
		{"part of a later head", "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET"},
		{"part of a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"},
		{"part of a chunked body", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"a request", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"a request whose answer is not read", "GET /large HTTP/1.1\r\nHost: a\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, l := startLimited(t, limits, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/large" {
					_, _ = w.Write(make([]byte, 64<<20))
				}
				_, _ = io.Copy(io.Discard, r.Body)
			})
			c := dialFar(t, s)
			_, err := io.WriteString(c, test.sent)
			is.NoErr(err)
			await(t, "the server accepts", func() bool { open, _ := l.usage(); return open == 1 })
			await(t, "the server closes the connection", func() bool { open, used := l.usage(); return open == 0 && used == 0 })
		})
	}
}

// TestLongHandling guards against time limits that close a connection whose request is
// being handled.
func TestLongHandling(t *testing.T) {
	is := is.New(t)
	limits := NewLimits(&wire.ServerLimits{HeadTimeoutMillis: 50, BodyTimeoutMillis: 50, IdleTimeoutMillis: 50})
	s, _ := startLimited(t, limits, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(3 * sweepInterval)
		_, _ = io.WriteString(w, "done")
	})
	for _, sent := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		c := dialFar(t, s)
		_, err := io.WriteString(c, sent)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

// TestRefusedBody guards against a body that is refused for lack of memory with a
// status that does not say so, or is handled in part.
func TestRefusedBody(t *testing.T) {
	is := is.New(t)
	seen := make(chan error, 1)
	s, l := startLimited(t, NewLimits(&wire.ServerLimits{MemoryBytes: minMemoryBytes}), func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		seen <- err
		http.Error(w, "bad body", http.StatusBadRequest)
	})
	c := dialFar(t, s)
	go func() {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n")
		_, _ = c.Write(make([]byte, 900_000))
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "1")
	var e *Error
	is.True(errors.As(<-seen, &e))
	is.Equal(e.Kind, KindOverload)
	c.Close()
	await(t, "all memory is returned", func() bool { open, used := l.usage(); return open == 0 && used == 0 })
}

// TestNoHTTP2 guards against heads and streams that are not accounted for.
func TestNoHTTP2(t *testing.T) {
	is := is.New(t)
	s, _ := startLimited(t, NewLimits(nil), func(http.ResponseWriter, *http.Request) { t.Error("a request was handled") })
	c := dialFar(t, s)
	_, err := io.WriteString(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	is.NoErr(err)
	b, _ := io.ReadAll(c)
	is.True(strings.HasPrefix(string(b), "HTTP/1.1 "))
}

func TestDeriveLimits(t *testing.T) {
	tests := []struct {
		memory, files int64
		want          Limits
	}{
		{144 << 20, 3075, Limits{MemoryBytes: 24 << 20, MaxConnections: 768}},
		{664 << 20, 10250, Limits{MemoryBytes: 664 << 20 / 6, MaxConnections: 3541}},
		{664 << 20, 3075, Limits{MemoryBytes: 664 << 20 / 6, MaxConnections: 1437}},
		{144 << 20, 100, Limits{MemoryBytes: 24 << 20, MaxConnections: minConnections}},
		{1 << 20, 3075, Limits{MemoryBytes: minMemoryBytes, MaxConnections: 64}},
	}
	for _, test := range tests {
		got := DeriveLimits(test.memory, test.files)
		is.New(t).Equal(got.MemoryBytes, test.want.MemoryBytes)
		is.New(t).Equal(got.MaxConnections, test.want.MaxConnections)
	}
}

// TestServerErrors guards against a line of log for each failed handshake.
func TestServerErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		e := &serverErrors{log: slog.New(slog.NewJSONHandler(&lines, nil))}
		for i := range 1000 {
			_, err := fmt.Fprintf(e, "http: TLS handshake error from 10.0.0.2:%d: EOF\n", i)
			is.NoErr(err)
			time.Sleep(2 * time.Millisecond)
		}
		is.True(bytes.Count(lines.Bytes(), []byte("\n")) <= 3)
	})
}
