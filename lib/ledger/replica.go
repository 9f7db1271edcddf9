// Package ledger keeps the record of submission keys on several agents, so
// that no submission runs twice and every outcome can be told again. It needs
// a directory of views, a way to report to whoever sets them, and an HTTP
// client; a Replica is a wire.Ledger to serve, a Client the way to it.
package ledger

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

const (
	// replicateTimeout is how long a member may take to acknowledge.
	replicateTimeout = time.Second
	// followTimeout is how long a member waits for its directory to reach the
	// epoch that it is asked under.
	followTimeout = 600 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
	// reportInterval is the least time between reports of the same silence.
	reportInterval = 500 * time.Millisecond
	// defaultRetention is for directories that name none.
	defaultRetention = 10 * time.Minute
)

// Replica is the part of the ledger that one agent keeps.
type Replica struct {
	self      *wire.Incarnation
	directory Directory
	control   Control
	client    *http.Client
	log       *slog.Logger
	scope     tally.Scope
	book      *book
	answers   answers

	mu       sync.Mutex
	shards   map[uint32]*shard
	holders  map[uint64]*wire.Incarnation
	reported map[silence]time.Time
}

// silence names a member that did not answer in a view.
type silence struct {
	shard  uint32
	epoch  uint64
	member uint64
}

// New returns an empty replica for the agent incarnation self. Run keeps it.
func New(self *wire.Incarnation, directory Directory, control Control, client *http.Client, log *slog.Logger, scope tally.Scope) *Replica {
	return &Replica{
		self:      self,
		directory: directory,
		control:   control,
		client:    client,
		log:       log,
		scope:     scope.SubScope("ledger"),
		book:      newBook(client),
		answers:   answers{limit: answerBudget},
		shards:    map[uint32]*shard{},
		holders:   map[uint64]*wire.Incarnation{},
		reported:  map[silence]time.Time{},
	}
}

// Run follows the views, copies shards that this member joins, forgets old
// keys and has the keys of lost entries taken over, until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	go r.copyLoop(ctx)
	go r.adoptLoop(ctx)
	r.sweepLoop(ctx)
}

// shard returns the named shard, as empty as it may be.
func (r *Replica) shard(number uint32) *shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shards[number]
	if s == nil {
		s = newShard(number)
		r.shards[number] = s
	}
	return s
}

func (r *Replica) all() []*shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make([]*shard, 0, len(r.shards))
	for _, s := range r.shards {
		found = append(found, s)
	}
	return found
}

// enter returns a shard and its view once the directory has reached epoch.
func (r *Replica) enter(ctx context.Context, number uint32, epoch uint64) (*shard, *wire.View, wire.LedgerError) {
	if !r.directory.Current() {
		return nil, nil, r.refuse("notCurrent", wire.LedgerError_LEDGER_ERROR_NOT_CURRENT)
	}
	view := r.reach(ctx, number, epoch)
	if view == nil {
		return nil, nil, r.refuse("viewUnknown", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(view, r.self)
	return s, view, wire.LedgerError_LEDGER_ERROR_NONE
}

// enterPrimary is enter for requests that only the primary serves.
func (r *Replica) enterPrimary(ctx context.Context, number uint32, epoch uint64) (*shard, *wire.View, wire.LedgerError) {
	s, view, code := r.enter(ctx, number, epoch)
	if code == wire.LedgerError_LEDGER_ERROR_NONE && !wire.Same(view.GetPrimary(), r.self) {
		return nil, nil, r.refuse("notPrimary", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	return s, view, code
}

// reach waits a short time for a view with at least that epoch.
func (r *Replica) reach(ctx context.Context, number uint32, epoch uint64) *wire.View {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for {
		changed := r.directory.Changed()
		view := viewOf(r.directory.Directory(), number)
		if view != nil && view.GetEpoch() >= epoch {
			return view
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Replica) retention() time.Duration {
	if millis := r.directory.Directory().GetRetentionMillis(); millis > 0 {
		return time.Duration(millis) * time.Millisecond
	}
	return defaultRetention
}

// intern returns one shared value for equal incarnations.
func (r *Replica) intern(who *wire.Incarnation) *wire.Incarnation {
	if who == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.holders[who.GetNumber()]
	if known == nil || !wire.Same(known, who) {
		known = &wire.Incarnation{Id: who.GetId(), Number: who.GetNumber()}
		r.holders[who.GetNumber()] = known
	}
	return known
}

// refuse counts a refusal by reason.
func (r *Replica) refuse(reason string, code wire.LedgerError) wire.LedgerError {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	return code
}
