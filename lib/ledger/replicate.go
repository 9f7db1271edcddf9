package ledger

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/wire"
)

// confirm makes sure that every member of the view has a record, or, where
// they have it already, that the view still stands. A primary that was deposed
// without its knowledge is refused by the member that the new view shares.
func (r *Replica) confirm(ctx context.Context, s *shard, view *wire.View, key string, now *record) wire.LedgerError {
	q := &wire.ReplicateRequest{Shard: s.number, Epoch: view.GetEpoch(), Primary: r.self}
	s.mu.Lock()
	if now != nil && !now.confirmed {
		q.Record = now.wire(key)
	}
	s.mu.Unlock()
	if !r.fanOut(ctx, view, q) {
		return r.refuse("inDoubt", wire.LedgerError_LEDGER_ERROR_IN_DOUBT)
	}
	if !r.directory.Current() {
		return r.refuse("notCurrent", wire.LedgerError_LEDGER_ERROR_IN_DOUBT)
	}
	if now != nil {
		s.mu.Lock()
		now.confirmed = true
		s.mu.Unlock()
	}
	return wire.LedgerError_LEDGER_ERROR_NONE
}

// fanOut sends a request to all other members at once and tells whether all
// took it.
func (r *Replica) fanOut(ctx context.Context, view *wire.View, q *wire.ReplicateRequest) bool {
	// The end of the caller must not look like a silent member.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicateTimeout)
	defer cancel()
	members := others(view)
	taken := make(chan bool, len(members))
	for _, member := range members {
		go r.runReplicate(ctx, member, q, taken)
	}
	all := true
	for range members {
		all = <-taken && all
	}
	return all
}

// runReplicate sends a request to one member and reports the member where it
// is silent.
func (r *Replica) runReplicate(ctx context.Context, member *wire.Incarnation, q *wire.ReplicateRequest, taken chan<- bool) {
	ledger := r.book.ledger(r.directory.Directory(), member)
	if ledger == nil {
		taken <- false
		return
	}
	reply, err := ledger.Replicate(ctx, q)
	if err != nil {
		r.reportSilent(q, member, err)
	}
	taken <- err == nil && reply.GetError() == wire.LedgerError_LEDGER_ERROR_NONE
}

// reportSilent asks for a view without a member, and not too often.
func (r *Replica) reportSilent(q *wire.ReplicateRequest, member *wire.Incarnation, cause error) {
	name := silence{shard: q.GetShard(), epoch: q.GetEpoch(), member: member.GetNumber()}
	r.mu.Lock()
	recent := time.Since(r.reported[name]) < reportInterval
	if !recent {
		r.reported[name] = time.Now()
	}
	r.mu.Unlock()
	if recent {
		return
	}
	r.scope.Counter("silent_members").Inc(1)
	r.log.Warn("A member does not answer.", "shard", q.GetShard(), "epoch", q.GetEpoch(), "member", member.GetId(), "error", cause)
	go r.runReport(&wire.ReportRequest{Reporter: r.self, Report: &wire.ReportRequest_Silent{
		Silent: &wire.Silent{Shard: q.GetShard(), Epoch: q.GetEpoch(), Member: member},
	}})
}

func (r *Replica) runReport(q *wire.ReportRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := r.control.Report(ctx, q); err != nil {
		r.log.Warn("A report did not reach the control group.", "error", err)
	}
}

// Replicate implements wire.Ledger.
func (r *Replica) Replicate(ctx context.Context, q *wire.ReplicateRequest) (*wire.ReplicateReply, error) {
	var next *record
	if q.GetRecord() != nil {
		var err error
		if next, err = recordOf(q.GetRecord()); err != nil {
			return nil, twirp.InvalidArgumentError("record", err.Error())
		}
		next.holder = r.intern(next.holder)
	}
	s, view, code := r.enter(ctx, q.GetShard(), q.GetEpoch())
	switch {
	case code != wire.LedgerError_LEDGER_ERROR_NONE:
		return &wire.ReplicateReply{Error: code}, nil
	case view.GetEpoch() != q.GetEpoch() || !wire.Same(view.GetPrimary(), q.GetPrimary()) || !contains(others(view), r.self):
		return &wire.ReplicateReply{Error: r.refuse("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)}, nil
	}
	return &wire.ReplicateReply{Error: r.store(s, q, next)}, nil
}

// store takes a record from the primary, unless a newer view was seen.
func (r *Replica) store(s *shard, q *wire.ReplicateRequest, next *record) wire.LedgerError {
	s.mu.Lock()
	if s.epoch != q.GetEpoch() {
		s.mu.Unlock()
		return r.refuse("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	if next == nil || !next.newer(s.records[q.GetRecord().GetKey()]) {
		s.mu.Unlock()
		return wire.LedgerError_LEDGER_ERROR_NONE
	}
	s.records[q.GetRecord().GetKey()] = next
	s.mu.Unlock()
	r.answers.add(s, q.GetRecord().GetKey(), len(next.outcome))
	return wire.LedgerError_LEDGER_ERROR_NONE
}
