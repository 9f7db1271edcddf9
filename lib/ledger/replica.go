// Package ledger replicates the records of submission keys on several agents,
// so that no submission runs twice and every outcome can be read again. Agents
// serve the records through a Replica, which implements wire.Ledger, and entries
// access them through a Client. Both need a directory of the views, and a
// Replica also needs a way to send reports to the control group, which sets the
// views.
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
	// replicateTimeout bounds the wait for the members' replies to a replicate
	// request.
	replicateTimeout = time.Second
	// followTimeout is how long a member waits for its directory to reach the
	// epoch of a request.
	followTimeout = 600 * time.Millisecond
	// reportTimeout bounds sending one report.
	reportTimeout = 2 * time.Second
	// reportInterval is the minimum interval between reports of the same
	// unresponsive member.
	reportInterval = 500 * time.Millisecond
	// defaultRetention is how long finished keys are retained if the directory
	// does not say.
	defaultRetention = 10 * time.Minute
)

// Replica is the part of the ledger stored by one agent.
type Replica struct {
	self        *wire.Incarnation
	directory   Directory
	reporter    Reporter
	client      *http.Client
	log         *slog.Logger
	scope       tally.Scope
	memberIndex *memberIndex
	answerCache answerCache

	mu     sync.Mutex
	shards map[uint32]*shard
	// holders are the incarnations returned by intern, by number.
	holders map[uint64]*wire.Incarnation
	// reported is the time of the last report of each unresponsive member.
	reported map[reportKey]time.Time
}

// reportKey identifies an unresponsive member of a view.
type reportKey struct {
	shard  uint32
	epoch  uint64
	member uint64
}

// New returns an empty replica for the agent incarnation self. Run starts it.
func New(self *wire.Incarnation, directory Directory, reporter Reporter, client *http.Client, log *slog.Logger, scope tally.Scope) *Replica {
	return &Replica{
		self:        self,
		directory:   directory,
		reporter:    reporter,
		client:      client,
		log:         log,
		scope:       scope.SubScope("ledger"),
		memberIndex: newMemberIndex(client),
		answerCache: answerCache{limit: maxCachedAnswerBytes},
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

// shard returns the shard with the given number, and creates it if necessary.
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

// resolve waits until the directory has a view of a shard with at least the
// given epoch. It advances the shard to that view and returns both.
func (r *Replica) resolve(ctx context.Context, number uint32, epoch uint64) (*shard, *wire.View, wire.LedgerError) {
	if !r.directory.Current() {
		return nil, nil, r.countRefusal("notCurrent", wire.LedgerError_LEDGER_ERROR_NOT_CURRENT)
	}
	view := r.awaitView(ctx, number, epoch)
	if view == nil {
		return nil, nil, r.countRefusal("viewUnknown", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	s := r.shard(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceTo(view, r.self)
	return s, view, wire.LedgerError_LEDGER_ERROR_NONE
}

// resolveAsPrimary is like resolve, but refuses unless this member is the
// primary of the view.
func (r *Replica) resolveAsPrimary(ctx context.Context, number uint32, epoch uint64) (*shard, *wire.View, wire.LedgerError) {
	s, view, code := r.resolve(ctx, number, epoch)
	if code == wire.LedgerError_LEDGER_ERROR_NONE && !wire.Same(view.GetPrimary(), r.self) {
		return nil, nil, r.countRefusal("notPrimary", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
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

// intern returns the same pointer for equal incarnations, so that the records
// share one copy.
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

// countRefusal counts a refusal by reason and returns code.
func (r *Replica) countRefusal(reason string, code wire.LedgerError) wire.LedgerError {
	r.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
	return code
}
