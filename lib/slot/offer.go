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
	// offerRetry is how long an entry that did not answer gets no offer.
	offerRetry = 2 * time.Second
	// sweepInterval is how often leases are looked through, and slots offered
	// again that were declined.
	sweepInterval = 250 * time.Millisecond
	// offerSpread spreads the first offers to a new entry, so that the agents
	// don't all call it at the same moment.
	offerSpread = 50 * time.Millisecond
)

// Directory is what an offerer needs to know of the other members.
type Directory interface {
	Directory() *wire.Directory
	Changed() <-chan struct{}
}

// Offerer brings the free slots of a worker to the entries.
type Offerer struct {
	book      *Book
	agent     *wire.Incarnation
	directory Directory
	client    *http.Client
	log       *slog.Logger

	entries  map[entryID]*target
	sequence uint64
}

// target is what the offerer knows of one entry.
type target struct {
	member *wire.Member
	// told is the version of the capacity that the entry has.
	told     uint64
	notUntil time.Time
}

// NewOfferer returns an offerer for book. Run starts it.
func NewOfferer(book *Book, agent *wire.Incarnation, directory Directory, client *http.Client, log *slog.Logger) *Offerer {
	return &Offerer{book: book, agent: agent, directory: directory, client: client, log: log, entries: map[entryID]*target{}}
}

// Run offers slots until ctx ends.
func (o *Offerer) Run(ctx context.Context) { o.loop(ctx) }

func (o *Offerer) loop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		changed := o.directory.Changed()
		o.follow()
		o.offer(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
			time.Sleep(rand.N(offerSpread))
		case <-o.book.Changed():
		case <-ticker.C:
		}
	}
}

// follow takes over the entries of the directory, and the tokens of those that
// are gone.
func (o *Offerer) follow() {
	known := map[entryID]*target{}
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
			t = &target{}
		}
		t.member = member
		known[id] = t
	}
	o.entries = known
	o.book.Retain(func(who *wire.Incarnation) bool { return live[idOf(who)] })
}

// offer splits the free slots over the entries that take offers, and tells all
// of them the capacity where it changed.
func (o *Offerer) offer(ctx context.Context) {
	now := time.Now()
	version := o.book.Version()
	capacities := o.book.Capacities()
	var open []*wire.Incarnation
	for _, t := range o.entries {
		if now.After(t.notUntil) {
			open = append(open, t.member.GetIncarnation())
		}
	}
	shares := o.book.Split(open)
	var calls sync.WaitGroup
	for _, entry := range open {
		t := o.entries[idOf(entry)]
		tokens := shares[entry]
		if len(tokens) == 0 && t.told == version {
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

// call makes one offer. Tokens that the entry did not take are free again.
func (o *Offerer) call(ctx context.Context, t *target, request *wire.OfferRequest, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := wire.NewEntryProtobufClient("http://"+t.member.GetAddress(), o.client).Offer(ctx, request)
	if err == nil && !reply.GetDeclined() {
		t.told = version
		return
	}
	t.notUntil = time.Now().Add(time.Duration(reply.GetRetryMillis()) * time.Millisecond)
	if err != nil {
		t.notUntil = time.Now().Add(offerRetry)
		o.log.Warn("An entry did not answer an offer.", "entry", t.member.GetIncarnation().GetId(), "error", err)
	}
	o.book.Revoke(request.GetTokens())
}
