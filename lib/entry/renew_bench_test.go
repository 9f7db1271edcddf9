package entry

import (
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/wire"
)

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRenew measures the renewal of the two tokens that an entry holds
// from a worker with eight slots, shared by four entries.
func BenchmarkRenew(b *testing.B) {
	a := &fakeAgent{}
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(wire.NewAgentServer(a))
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	b.Cleanup(server.Close)
	incarnation := &wire.Incarnation{Id: "worker1", Number: 1}
	a.member = &wire.Member{Incarnation: incarnation, Role: wire.Role_ROLE_AGENT, Address: server.Listener.Addr().String()}
	a.slotPool = slot.New(incarnation)
	a.slotPool.Open("worker1/server", "sizing", 2)
	d, _ := newTestDispatcher(b, a)
	for b.Loop() {
		d.mu.Lock()
		for _, known := range d.fleet.agents {
			known.reconcile = true
		}
		d.mu.Unlock()
		renewer := &leaseRenewer{d: d}
		runClaims(b.Context(), renewer.dueClaims(time.Now()))
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}
