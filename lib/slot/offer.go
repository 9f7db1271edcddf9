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
	// offerRetryDelay is how long no offers are sent to an entry after a failed
	// one.
	offerRetryDelay = 2 * time.Second
	// sweepInterval is the interval at which expired leases are reclaimed and
	// declined slots are offered again.
	sweepInterval = 250 * time.Millisecond
	// offerJitter bounds the random delay between a directory change and the
	// next offers, so that the agents do not all call a new entry at the same
	// moment.
	offerJitter = 50 * time.Millisecond
)

// Directory provides the current directory of members.
type Directory interface {
	Directory() *wire.Directory
	// Changed returns a channel that is closed at the next change of the
	// directory.
	Changed() <-chan struct{}
}

// Offerer offers the free slots of a worker to the entries.
type Offerer struct {
	pool      *Pool
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
	// sentVersion is the version of the capacity in the last offer that the
	// entry accepted.
	sentVersion uint64
	// retryAt is the time before which no offers are sent to the entry.
	retryAt time.Time
}

// NewOfferer returns an offerer for the slots of pool. Run starts it.
func NewOfferer(pool *Pool, agent *wire.Incarnation, directory Directory, client *http.Client, log *slog.Logger) *Offerer {
	return &Offerer{pool: pool, agent: agent, directory: directory, client: client, log: log, entries: map[entryID]*entryState{}}
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
		case <-o.pool.Changed():
		case <-ticker.C:
		}
	}
}

// syncEntries updates the entries from the directory and reclaims the tokens of
// entries that are no longer members.
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
		target := o.entries[id]
		if target == nil {
			target = &entryState{}
		}
		target.member = member
		known[id] = target
	}
	o.entries = known
	o.pool.Retain(func(inc *wire.Incarnation) bool { return live[idOf(inc)] })
}

// offer divides the free slots among the entries whose retryAt has passed, and
// sends those entries the capacity if it has changed.
func (o *Offerer) offer(ctx context.Context) {
	now := time.Now()
	version := o.pool.Version()
	capacities := o.pool.Capacities()
	var recipients []*wire.Incarnation
	for _, target := range o.entries {
		if now.After(target.retryAt) {
			recipients = append(recipients, target.member.GetIncarnation())
		}
	}
	shares := o.pool.Split(recipients)
	var calls sync.WaitGroup
	for _, entry := range recipients {
		target := o.entries[idOf(entry)]
		tokens := shares[entry]
		if len(tokens) == 0 && target.sentVersion == version {
			continue
		}
		o.sequence++
		request := &wire.OfferRequest{
			Agent: o.agent, Entry: entry, Tokens: tokens, Capacities: capacities, Sequence: o.sequence,
		}
		calls.Go(func() { o.call(ctx, target, request, version) })
	}
	calls.Wait()
}

// call sends one offer. Tokens that the entry did not accept become free
// again.
func (o *Offerer) call(ctx context.Context, target *entryState, request *wire.OfferRequest, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := wire.NewEntryProtobufClient("http://"+target.member.GetAddress(), o.client).Offer(ctx, request)
	if err == nil && !reply.GetDeclined() {
		target.sentVersion = version
		return
	}
	target.retryAt = time.Now().Add(time.Duration(reply.GetRetryMillis()) * time.Millisecond)
	if err != nil {
		target.retryAt = time.Now().Add(offerRetryDelay)
		o.log.Warn("Slot offer to an entry failed; the offered slots are free again.", "entry", target.member.GetIncarnation().GetId(), "error", err)
	}
	o.pool.Revoke(request.GetTokens())
}
