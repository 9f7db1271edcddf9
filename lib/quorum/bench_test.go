package quorum

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"skylarklane.example/lib/wire"
)

// BenchmarkPropose commits commands of 1 KiB to real files, with one proposer
// and with many, on one host and on three over loopback.
func BenchmarkPropose(b *testing.B) {
	for _, bench := range []struct{ hosts, proposers int }{{1, 1}, {1, 64}, {3, 1}, {3, 64}} {
		b.Run(fmt.Sprintf("%dhosts/%dproposers", bench.hosts, bench.proposers), func(b *testing.B) {
			node := startLeader(b, bench.hosts)
			command := make([]byte, 1024)
			work := make(chan struct{})
			var proposers sync.WaitGroup
			for range bench.proposers {
				proposers.Go(func() {
					for range work {
						if _, err := node.Propose(b.Context(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for b.Loop() {
				work <- struct{}{}
			}
			close(work)
			proposers.Wait()
		})
	}
}

// startLeader starts hosts in this process and returns the leader.
func startLeader(b *testing.B, n int) *Node {
	muxes := make([]*http.ServeMux, n)
	var peers []*wire.LogHost
	for i := range n {
		muxes[i] = http.NewServeMux()
		server := httptest.NewServer(muxes[i])
		b.Cleanup(server.Close)
		peers = append(peers, &wire.LogHost{Id: fmt.Sprint("host", i), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(running.Wait)
	b.Cleanup(cancel)
	var nodes []*Node
	for i := range n {
		folder, err := OpenFolder(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(folder.Close)
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		node, err := New(Config{ID: peers[i].GetId(), Peers: peers}, NewClient(&http.Client{}, peers), folder, &counter{}, log)
		if err != nil {
			b.Fatal(err)
		}
		muxes[i].Handle(wire.QuorumPathPrefix, wire.NewQuorumServer(node))
		running.Go(func() { _ = node.Run(ctx) })
		nodes = append(nodes, node)
	}
	for {
		for _, node := range nodes {
			if node.Read(ctx, func(uint64) {}) == nil {
				return node
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// counter is a state machine that counts its commands.
type counter struct{ n int }

func (c *counter) Apply(uint64, []byte) any {
	c.n++
	return c.n
}

func (c *counter) Snapshot() []byte { return []byte{1} }

func (c *counter) Restore([]byte) error { return nil }
