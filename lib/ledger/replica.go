// Package ledger replicates the records of submission keys on several agents,
// so that no submission runs twice and every outcome can be read again. It
// needs a directory of views, a way to report to the control group that sets
// them, and an HTTP client. A Replica is a wire.Ledger to serve, a Client
// accesses it.
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
	// replicateTimeout bounds the wait for members to acknowledge a write.
	replicateTimeout = time.Second
	// followTimeout is how long a member waits for its directory to reach the
	// epoch of a request.
	followTimeout = 600 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
	// reportInterval is the minimum interval between reports of the same
	// unresponsive member.
	reportInterval = 500 * time.Millisecond
	// defaultRetention is the retention where the directory gives none.
	defaultRetention = 10 * time.Minute
)

// Replica is the part of the ledger stored by one agent.
type Replica struct {
	self        *wire.Incarnation
	directory   Directory
	control     Control
	client      *http.Client
	log         *slog.Logger
	scope       tally.Scope
	memberIndex *memberIndex
	answerCache answerCache

	mu       sync.Mutex
	shards   map[uint32]*shard
	holders  map[uint64]*wire.Incarnation
	reported map[reportKey]time.Time
}

// reportKey identifies a member that did not answer in a view.
type reportKey struct {
	shard  uint32
	epoch  uint64
	member uint64
}

// New returns an empty replica for the agent incarnation self. Run starts it.
func New(self *wire.Incarnation, directory Directory, control Control, client *http.Client, log *slog.Logger, scope tally.Scope) *Replica {
	return &Replica{
		self:        self,
		directory:   directory,
		control:     control,
		client:      client,
		log:         log,
		scope:       scope.SubScope("ledger"),
		memberIndex: newMemberIndex(client),
		answerCache: answerCache{limit: answerBudget},
		shards:      map[uint32]*shard{},
		holders:     map[uint64]*wire.Incarnation{},
		reported:    map[reportKey]time.Time{},
	}
}

// Run follows the views, copies the shards that this member joins, removes
// expired keys and asks entries to take over the keys of dead entries, until
// ctx ends.
func (r *Replica) Run(ctx context.Context) {
	go r.copyLoop(ctx)
	go r.adoptLoop(ctx)
	r.sweepLoop(ctx)
}

// shard returns the shard with a number, and creates it if necessary.
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

func (r *Replica) allShards() []*shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make([]*shard, 0, len(r.shards))
	for _, s := range r.shards {
		found = append(found, s)
	}
	return found
}

// resolve returns a shard and its view once the directory has reached epoch.
func (r *Replica) resolve(ctx context.Context, number uint32, epoch uint64) (*shard, *wire.View, wire.LedgerError) {
	if !r.directory.Current() {
		return nil, nil, r.refuse("notCurrent", wire.LedgerError_LEDGER_ERROR_NOT_CURRENT)
	}
	view := r.awaitView(ctx, number, epoch)
	if view == nil {
		return nil, nil, r.refuse("viewUnknown", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(view, r.self)
	return s, view, wire.LedgerError_LEDGER_ERROR_NONE
}

// resolveAsPrimary is resolve for requests that only the primary serves.
func (r *Replica) resolveAsPrimary(ctx context.Context, number uint32, epoch uint64) (*shard, *wire.View, wire.LedgerError) {
	s, view, code := r.resolve(ctx, number, epoch)
	if code == wire.LedgerError_LEDGER_ERROR_NONE && !wire.Same(view.GetPrimary(), r.self) {
		return nil, nil, r.refuse("notPrimary", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	return s, view, code
}

// awaitView waits up to followTimeout for a view with at least the given
// epoch.
func (r *Replica) awaitView(ctx context.Context, number uint32, epoch uint64) *wire.View {
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
func (r *Replica) intern(inc *wire.Incarnation) *wire.Incarnation {
	if inc == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.holders[inc.GetNumber()]
	if known == nil || !wire.Same(known, inc) {
		known = &wire.Incarnation{Id: inc.GetId(), Number: inc.GetNumber()}
		r.holders[inc.GetNumber()] = known
	}
	return known
}

// refuse counts a refusal by reason and returns code.
func (r *Replica) refuse(reason string, code wire.LedgerError) wire.LedgerError {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	return code
}
