package ledger

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/wire"
)

// confirm replicates a record to every other member of the view. If they already
// have the record, or there is none, it only verifies that the view is still in
// effect: a primary that was replaced without its knowledge is refused by a
// member that belongs to both views.
func (r *Replica) confirm(ctx context.Context, s *shard, view *wire.View, key string, current *record) wire.LedgerError {
	q := &wire.ReplicateRequest{Shard: s.number, Epoch: view.GetEpoch(), Primary: r.self}
	s.mu.Lock()
	if current != nil && !current.confirmed {
		q.Record = current.wire(key)
	}
	s.mu.Unlock()
	if !r.fanOut(ctx, view, q) {
		return r.countRefusal("inDoubt", wire.LedgerError_LEDGER_ERROR_IN_DOUBT)
	}
	if !r.directory.Current() {
		return r.countRefusal("notCurrent", wire.LedgerError_LEDGER_ERROR_IN_DOUBT)
	}
	if current != nil {
		s.mu.Lock()
		current.confirmed = true
		s.mu.Unlock()
	}
	return wire.LedgerError_LEDGER_ERROR_NONE
}

// fanOut sends a request to all other members concurrently and reports whether
// all accepted it.
func (r *Replica) fanOut(ctx context.Context, view *wire.View, q *wire.ReplicateRequest) bool {
	// Cancellation by the caller must not look like an unresponsive member.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout)
	defer cancel()
	members := secondaries(view)
	accepted := make(chan bool, len(members))
	for _, member := range members {
		go r.replicateTo(ctx, member, q, accepted)
	}
	all := true
	for range members {
		all = <-accepted && all
	}
	return all
}

// replicateTo sends a request to one member and reports the member to the
// control group if it does not answer.
func (r *Replica) replicateTo(ctx context.Context, member *wire.Incarnation, q *wire.ReplicateRequest, accepted chan<- bool) {
	ledgerClient := r.memberIndex.ledgerClient(r.directory.Directory(), member)
	if ledgerClient == nil {
		accepted <- false
		return
	}
	reply, err := ledgerClient.Replicate(ctx, q)
	if err != nil {
		r.reportUnresponsive(q, member, err)
	}
	accepted <- err == nil && reply.GetError() == wire.LedgerError_LEDGER_ERROR_NONE
}

// reportUnresponsive reports an unresponsive member to the control group, at
// most once per reportInterval, so that it sets a view without the member.
func (r *Replica) reportUnresponsive(q *wire.ReplicateRequest, member *wire.Incarnation, cause error) {
	key := reportKey{shard: q.GetShard(), epoch: q.GetEpoch(), member: member.GetNumber()}
	r.mu.Lock()
	recent := time.Since(r.reported[key]) < reportInterval
	if !recent {
		r.reported[key] = time.Now()
	}
	r.mu.Unlock()
	if recent {
		return
	}
	r.scope.Counter("silent_members").Inc(1)
	r.log.Warn("A replica did not acknowledge a write.", "shard", q.GetShard(), "epoch", q.GetEpoch(), "member", member.GetId(), "error", cause)
	go r.sendReport(&wire.ReportRequest{Reporter: r.self, Report: &wire.ReportRequest_Silent{
		Silent: &wire.Silent{Shard: q.GetShard(), Epoch: q.GetEpoch(), Member: member},
	}})
}

func (r *Replica) sendReport(q *wire.ReportRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := r.reporter.Report(ctx, q); err != nil {
		r.log.Warn("Sending a report to the control group failed.", "error", err)
	}
}

// Replicate implements wire.Ledger.
func (r *Replica) Replicate(ctx context.Context, q *wire.ReplicateRequest) (*wire.ReplicateReply, error) {
	var next *record
	if q.GetRecord() != nil {
		var err error
		if next, err = recordFromWire(q.GetRecord()); err != nil {
			return nil, twirp.InvalidArgumentError("record", err.Error())
		}
		next.holder = r.intern(next.holder)
	}
	s, view, code := r.resolve(ctx, q.GetShard(), q.GetEpoch())
	switch {
	case code != wire.LedgerError_LEDGER_ERROR_NONE:
		return &wire.ReplicateReply{Error: code}, nil
	case view.GetEpoch() != q.GetEpoch() || !wire.Same(view.GetPrimary(), q.GetPrimary()) || !contains(secondaries(view), r.self):
		return &wire.ReplicateReply{Error: r.countRefusal("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)}, nil
	}
	return &wire.ReplicateReply{Error: r.store(s, q, next)}, nil
}

// store stores a record from the primary, unless this member has seen a newer
// view.
func (r *Replica) store(s *shard, q *wire.ReplicateRequest, next *record) wire.LedgerError {
	s.mu.Lock()
	if s.epoch != q.GetEpoch() {
		s.mu.Unlock()
		return r.countRefusal("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	if next == nil || !next.isNewer(s.records[q.GetRecord().GetKey()]) {
		s.mu.Unlock()
		return wire.LedgerError_LEDGER_ERROR_NONE
	}
	s.records[q.GetRecord().GetKey()] = next
	s.mu.Unlock()
	r.answerCache.add(s, q.GetRecord().GetKey(), len(next.outcome))
	return wire.LedgerError_LEDGER_ERROR_NONE
}
