package slot

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	offerTimeout = time.Second
	// offerRetryDelay is how long an entry that did not answer gets no offers.
	offerRetryDelay = 2 * time.Second
	// sweepInterval is the interval at which expired leases are reclaimed and
	// declined slots are offered again.
	sweepInterval = 250 * time.Millisecond
	// offerJitter is the range of random delays before offers after a
	// directory change, so that the agents do not all call a new entry at the
	// same moment.
	offerJitter = 50 * time.Millisecond
)

// Directory provides the current directory of members.
type Directory interface {
	Directory() *wire.Directory
	Changed() <-chan struct{}
}

// Offerer offers the free slots of a worker to the entries.
type Offerer struct {
	book      *Pool
	agent     *wire.Incarnation
	directory Directory
	client    *http.Client
	log       *slog.Logger

	entries  map[entryID]*entryState
	sequence uint64
}

// entryState is the offerer's state for one entry.
type entryState struct {
	member *wire.Member
	// sentVersion is the version of the capacity that the entry last accepted.
	sentVersion uint64
	retryAt     time.Time
}

// NewOfferer returns an offerer for book. Run starts it.
func NewOfferer(book *Pool, agent *wire.Incarnation, directory Directory, client *http.Client, log *slog.Logger) *Offerer {
	return &Offerer{book: book, agent: agent, directory: directory, client: client, log: log, entries: map[entryID]*entryState{}}
}

// Run offers slots until ctx ends.
func (o *Offerer) Run(ctx context.Context) { o.loop(ctx) }

func (o *Offerer) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		changed := o.directory.Changed()
		o.syncEntries()
		o.offer(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			time.Sleep(rand.N(offerJitter))
		case <-o.book.Changed():
		case <-ticker.C:
		}
	}
}

// syncEntries updates the entries from the directory and takes back the tokens
// of entries that are no longer members.
func (o *Offerer) syncEntries() {
	known := map[entryID]*entryState{}
	live := map[entryID]bool{}
	for _, member := range o.directory.Directory().GetMembers() {
		if member.GetRole() != wire.Role_ROLE_ENTRY {
			continue
		}
		id := idOf(member.GetIncarnation())
		live[id] = true
		if member.GetLeaving() {
			continue
		}
		t := o.entries[id]
		if t == nil {
			t = &entryState{}
		}
		t.member = member
		known[id] = t
	}
	o.entries = known
	o.book.Retain(func(inc *wire.Incarnation) bool { return live[idOf(inc)] })
}

// offer divides the free slots among the entries that may currently be sent
// offers, and sends them the capacity if it has changed.
func (o *Offerer) offer(ctx context.Context) {
	now := time.Now()
	version := o.book.Version()
	capacities := o.book.Capacities()
	var open []*wire.Incarnation
	for _, t := range o.entries {
		if now.After(t.retryAt) {
			open = append(open, t.member.GetIncarnation())
		}
	}
	shares := o.book.Split(open)
	var calls sync.WaitGroup
	for _, entry := range open {
		t := o.entries[idOf(entry)]
		tokens := shares[entry]
		if len(tokens) == 0 && t.sentVersion == version {
			continue
		}
		o.sequence++
		request := &wire.OfferRequest{
			Agent: o.agent, Entry: entry, Tokens: tokens, Capacities: capacities, Sequence: o.sequence,
		}
		calls.Go(func() { o.call(ctx, t, request, version) })
	}
	calls.Wait()
}

// call sends one offer. Tokens that the entry did not accept become free
// again.
func (o *Offerer) call(ctx context.Context, t *entryState, request *wire.OfferRequest, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := wire.NewEntryProtobufClient("http://"+t.member.GetAddress(), o.client).Offer(ctx, request)
	if err == nil && !reply.GetDeclined() {
		t.sentVersion = version
		return
	}
	t.retryAt = time.Now().Add(time.Duration(reply.GetRetryMillis()) * time.Millisecond)
	if err != nil {
		t.retryAt = time.Now().Add(offerRetryDelay)
		o.log.Warn("Slot offer to an entry failed; its tokens are free again.", "entry", t.member.GetIncarnation().GetId(), "error", err)
	}
	o.book.Revoke(request.GetTokens())
}
