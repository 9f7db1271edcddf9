package ledger_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/wire"
)

// staticSystem implements ledger.Directory with a directory that never changes,
// and ledger.Reporter by ignoring reports.
type staticSystem struct{ directory *wire.Directory }

func (s *staticSystem) Directory() *wire.Directory { return s.directory }

func (s *staticSystem) Current() bool { return true }

func (s *staticSystem) Changed() <-chan struct{} { return nil }

func (s *staticSystem) Report(context.Context, *wire.ReportRequest) error { return nil }

// Example runs one shard with two replicas in this process, without any of the
// daemons.
func Example() {
	ctx := context.Background()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	client := &http.Client{}
	system := &staticSystem{directory: &wire.Directory{}}
	view := &wire.View{Epoch: 1}
	for n, id := range []string{"first", "second"} {
		inc := &wire.Incarnation{Id: id, Number: uint64(n + 1)}
		server := httptest.NewUnstartedServer(nil)
		replica := ledger.New(inc, system, system, client, log, tally.NoopScope)
		server.Config.Handler = wire.NewLedgerServer(replica)
		server.Start()
		defer server.Close()
		address := server.Listener.Addr().String()
		system.directory.Members = append(system.directory.Members, &wire.Member{Incarnation: inc, Address: address})
		if n == 0 {
			view.Primary = inc
			continue
		}
		view.Backups = append(view.Backups, inc)
	}
	system.directory.Views = []*wire.View{view}

	digest := sha256.Sum256([]byte("content"))
	for n, id := range []string{"one", "other"} {
		entry := ledger.NewClient(&wire.Incarnation{Id: id, Number: uint64(n + 10)}, system, client, tally.NoopScope)
		reply, err := entry.Hold(ctx, &wire.HoldRequest{Key: "key", Digest: digest[:], Claim: entry.NextClaim()})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%s: granted %t, held by %s\n", id, reply.GetGranted(), reply.GetRecord().GetHolder().GetId())
	}
	// Output:
	// one: granted true, held by one
	// other: granted false, held by one
}
