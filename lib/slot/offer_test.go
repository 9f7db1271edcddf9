package slot

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// fakeEntry accepts or declines offers.
type fakeEntry struct {
	wire.Entry
	member *wire.Member

	mu        sync.Mutex
	declines  bool
	tokens    []*wire.Token
	lastOffer *wire.OfferRequest
}

func startEntry(t *testing.T, id string) *fakeEntry {
	e := &fakeEntry{}
	server := httptest.NewServer(wire.NewEntryServer(e))
	t.Cleanup(server.Close)
	e.member = &wire.Member{
		Incarnation: &wire.Incarnation{Id: id, Number: 1}, Role: wire.Role_ROLE_ENTRY,
		Address: server.Listener.Addr().String(),
	}
	return e
}

func (e *fakeEntry) Offer(_ context.Context, q *wire.OfferRequest) (*wire.OfferReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastOffer = q
	if e.declines {
		return &wire.OfferReply{Declined: true, RetryMillis: 100}, nil
	}
	e.tokens = append(e.tokens, q.GetTokens()...)
	return &wire.OfferReply{}, nil
}

func (e *fakeEntry) tokenCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.tokens)
}

// fakeDirectory is a directory whose entries are set by tests.
type fakeDirectory struct {
	mu        sync.Mutex
	directory *wire.Directory
	changed   chan struct{}
}

func directoryOf(entries ...*fakeEntry) *fakeDirectory {
	f := &fakeDirectory{changed: make(chan struct{})}
	f.set(entries...)
	return f
}

func (f *fakeDirectory) set(entries ...*fakeEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory = &wire.Directory{}
	for _, e := range entries {
		f.directory.Members = append(f.directory.Members, e.member)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeDirectory) Directory() *wire.Directory {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory
}

func (f *fakeDirectory) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// eventually waits until condition holds, for at most a minute.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not hold within a minute")
		}
	}
}

func startOfferer(t *testing.T, directory Directory) *Pool {
	pool := New(agentA)
	go NewOfferer(pool, agentA, directory, &http.Client{}, slog.New(slog.DiscardHandler)).Run(t.Context())
	return pool
}

func TestOffersReachAllEntries(t *testing.T) {
	is := is.New(t)
	x, y := startEntry(t, "x"), startEntry(t, "y")
	pool := startOfferer(t, directoryOf(x, y))
	pool.Open("server", "sizing", 8)
	eventually(t, func() bool { return x.tokenCount() == 4 && y.tokenCount() == 4 })
	pool.Close("server")
	eventually(t, func() bool { // the last offer reports that there are no slots
		x.mu.Lock()
		defer x.mu.Unlock()
		return len(x.lastOffer.GetCapacities()) == 0
	})
	_, ok := pool.Use(x.member.GetIncarnation(), x.tokens[0].GetNumber())
	is.True(!ok)
}

func TestDeclinedSlotsAreReoffered(t *testing.T) {
	x, y := startEntry(t, "x"), startEntry(t, "y")
	x.declines = true
	pool := startOfferer(t, directoryOf(x, y))
	pool.Open("server", "sizing", 8)
	eventually(t, func() bool { return y.tokenCount() == 8 })
}

func TestSlotsOfRemovedEntryAreReoffered(t *testing.T) {
	is := is.New(t)
	x, y := startEntry(t, "x"), startEntry(t, "y")
	directory := directoryOf(x, y)
	pool := startOfferer(t, directory)
	pool.Open("server", "sizing", 8)
	eventually(t, func() bool { return x.tokenCount() == 4 && y.tokenCount() == 4 })
	busy := x.tokens[0].GetNumber()
	_, ok := pool.Use(x.member.GetIncarnation(), busy)
	is.True(ok)
	directory.set(y)
	eventually(t, func() bool { return y.tokenCount() == 7 })
	is.True(pool.Return(x.member.GetIncarnation(), busy) == nil)
	eventually(t, func() bool { return y.tokenCount() == 8 }) // the slot is free after its task
	numbers := map[uint64]bool{}
	for _, token := range slices.Concat(x.tokens, y.tokens) {
		is.True(!numbers[token.GetNumber()]) // each lease has its own number
		numbers[token.GetNumber()] = true
	}
}
