package ledger

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// serveLoopback replaces the in-memory network by HTTP over loopback, with HTTP/1
// and unencrypted HTTP/2 as in the processes.
func serveLoopback(t testing.TB, c *cluster) {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	for _, member := range c.members {
		handler := c.network.handlers[member.GetAddress()]
		if handler == nil {
			continue
		}
		server := httptest.NewUnstartedServer(handler)
		server.Config.Protocols = &protocols
		server.Start()
		t.Cleanup(server.Close)
		member.Address = server.Listener.Addr().String()
	}
	c.updateDirectories()
	for _, replica := range c.replicas {
		replica.memberIndex = newMemberIndex(newLoopbackClient(t))
	}
	for _, client := range c.clients {
		client.memberIndex = newMemberIndex(newLoopbackClient(t))
	}
}

func newLoopbackClient(t testing.TB) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// BenchmarkHoldFinish measures holding and then finishing the key of one job,
// with three replicas over loopback and one job at a time.
func BenchmarkHoldFinish(b *testing.B) {
	c := newCluster(b, 3)
	serveLoopback(b, c)
	n := 0
	for b.Loop() {
		n++
		holdAndFinish(b, c, fmt.Sprint("key", n))
	}
}

// BenchmarkMessages counts the requests that it takes to hold and finish the key
// of one job, and their bytes. Replies are not counted.
func BenchmarkMessages(b *testing.B) {
	c := newCluster(b, 3)
	n := 0
	for b.Loop() {
		n++
		holdAndFinish(b, c, fmt.Sprintf("0190a5d0-0000-4000-8000-%012d", n))
	}
	b.ReportMetric(float64(c.network.messages)/float64(n), "messages/job")
	b.ReportMetric(float64(c.network.bytes)/float64(n), "bytes/job")
}

func holdAndFinish(b *testing.B, c *cluster, key string) {
	hold, err := c.clients["e1"].Hold(b.Context(), holdRequest(key, 1))
	if err != nil || !hold.GetGranted() {
		b.Fatal(err, hold)
	}
	if _, err := c.clients["e1"].Finish(b.Context(), finishRequest(key, 1, complete)); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkKeyBytes measures the memory of one finished key at one replica. The
// key has 36 characters, and the answer is one result of 100 bytes.
func BenchmarkKeyBytes(b *testing.B) {
	const keys = 100000
	for b.Loop() {
		s := newShard(0)
		before := heapBytes()
		for n := range keys {
			r := &record{state: wire.KeyState_KEY_STATE_FINISHED, sequence: 2, epoch: 1}
			r.outcome, _ = encodeOutcome(&wire.Outcome{Kind: complete, Results: [][]byte{make([]byte, 100)}})
			s.records[fmt.Sprintf("0190a5d0-0000-4000-8000-%012d", n)] = r
		}
		b.ReportMetric(float64(heapBytes()-before)/keys, "bytes/key")
		b.ReportMetric(float64(proto.Size(s.records["0190a5d0-0000-4000-8000-000000000000"].wire("key"))), "bytes/message")
		runtime.KeepAlive(s)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
