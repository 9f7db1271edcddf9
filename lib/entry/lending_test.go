package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
)

// lender is a fake entry that implements only Borrow.
type lender struct {
	wire.Entry
	d *dispatcher

	mu    sync.Mutex
	calls int
}

func (l *lender) Borrow(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	return l.d.handleBorrow(ctx, q), nil
}

// newEntries returns n entries that have each other and the agents in their
// directories.
func newEntries(t *testing.T, n int, agents ...*fakeAgent) []*lender {
	var entries []*lender
	var all []*wire.Member
	var directories []*fakeMembers
	for _, a := range agents {
		all = append(all, a.member)
	}
	for i := range n {
		m := newFakeMembers(fmt.Sprint("entry", i))
		l := &lender{d: newDispatcher(m, process.NewClient(), placement.Tokens{}, slog.New(slog.DiscardHandler), tally.NoopScope)}
		server := httptest.NewServer(wire.NewEntryServer(l))
		t.Cleanup(server.Close)
		t.Cleanup(l.d.work.Wait)
		m.self.Address = server.Listener.Addr().String()
		all = append(all, m.self)
		entries = append(entries, l)
		directories = append(directories, m)
	}
	for i, m := range directories {
		m.set(all, sizingService())
		entries[i].d.mu.Lock()
		entries[i].d.syncDirectory()
		entries[i].d.mu.Unlock()
	}
	return entries
}

func TestBorrowFromIdleEntry(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	a := startFakeAgent(t, "worker1", 8, r.run)
	entries := newEntries(t, 2, a)
	offerAll(entries[0].d, a, 1)
	var group sync.WaitGroup
	group.Go(func() {
		is.Equal(entries[1].d.Run(t.Context(), jobOf("job", "finCheck", 6)).GetKind(), complete)
	})
	eventually(t, func() bool { return len(r.starts()) == 6 })
	is.Equal(entries[0].calls, 1) // one call for all tokens
	is.Equal(entries[0].d.status().Services[0].TokensHeld, 2)
	close(r.release)
	group.Wait()
	is.Equal(entries[1].d.status().Services[0].TokensHeld, 6)
}

// TestTokensAreNeitherLostNorDuplicated guards against lost or duplicated tokens
// while two busy entries lend tokens, all held by one entry at first, to each
// other.
func TestTokensAreNeitherLostNorDuplicated(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t, "worker1", 8, succeed)
	entries := newEntries(t, 2, a)
	offerAll(entries[0].d, a, 1)
	var group sync.WaitGroup
	for n, l := range entries {
		for i := range 50 {
			key := fmt.Sprint(n, "-", i)
			group.Go(func() {
				is.Equal(l.d.Run(t.Context(), jobOf(key, "finCheck", 20)).GetKind(), complete)
			})
		}
	}
	group.Wait()
	eventually(t, func() bool { // no token is lost or held twice once the last transfers are done
		held, idle := 0, 0
		for _, l := range entries {
			s := l.d.status().Services[0]
			held += s.TokensHeld
			idle += s.TokensIdle
		}
		return held == 8 && idle == 8
	})
}
