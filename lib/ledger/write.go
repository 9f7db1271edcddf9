package ledger

import (
	"bytes"
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const reasonUnknown = "unknownOutcome"

// Hold implements wire.Ledger.
func (r *Replica) Hold(ctx context.Context, q *wire.HoldRequest) (*wire.HoldReply, error) {
	if q.GetKey() == "" || (!q.GetTakeover() && len(q.GetDigest()) != digestBytes) {
		return nil, twirp.InvalidArgumentError("digest", "must have 32 bytes, and key some")
	}
	change := r.hold(q)
	if q.GetTakeover() {
		change = r.takeOver(q)
	}
	now, code := r.write(ctx, q.GetShard(), q.GetEpoch(), q.GetKey(), change)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.HoldReply{Error: code}, nil
	}
	reply := &wire.HoldReply{Granted: now.heldBy(q.GetHolder(), q.GetClaim()), Record: now.wire(q.GetKey())}
	switch {
	case !now.taken():
		reply.Record = nil
	case !q.GetTakeover() && !bytes.Equal(now.digest[:], q.GetDigest()):
		return &wire.HoldReply{Error: r.refuse("keyConflict", wire.LedgerError_LEDGER_ERROR_CONFLICT)}, nil
	}
	return reply, nil
}

// Finish implements wire.Ledger.
func (r *Replica) Finish(ctx context.Context, q *wire.FinishRequest) (*wire.FinishReply, error) {
	if q.GetKey() == "" || len(q.GetDigest()) != digestBytes || q.GetOutcome().GetKind() == wire.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return nil, twirp.InvalidArgumentError("outcome", "must have a kind, the digest 32 bytes, and key some")
	}
	now, code := r.write(ctx, q.GetShard(), q.GetEpoch(), q.GetKey(), r.finish(q))
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.FinishReply{Error: code}, nil
	}
	return &wire.FinishReply{Record: now.wire(q.GetKey())}, nil
}

// Look implements wire.Ledger.
func (r *Replica) Look(ctx context.Context, q *wire.LookRequest) (*wire.LookReply, error) {
	now, code := r.write(ctx, q.GetShard(), q.GetEpoch(), q.GetKey(), unchanged)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.LookReply{Error: code}, nil
	}
	if !now.taken() {
		return &wire.LookReply{}, nil
	}
	return &wire.LookReply{Record: now.wire(q.GetKey())}, nil
}

// change returns the record that follows from a request, nil for no change.
type change func(s *shard, old *record) (*record, wire.LedgerError)

func unchanged(*shard, *record) (*record, wire.LedgerError) {
	return nil, wire.LedgerError_LEDGER_ERROR_NONE
}

// hold claims a key that nobody has.
func (r *Replica) hold(q *wire.HoldRequest) change {
	return func(s *shard, old *record) (*record, wire.LedgerError) {
		if !old.mayHold(q.GetHolder(), q.GetClaim(), q.GetIdempotent()) {
			return nil, wire.LedgerError_LEDGER_ERROR_NONE
		}
		if r.book.isDead(r.directory.Directory(), q.GetHolder()) {
			return nil, r.refuse("holderDead", wire.LedgerError_LEDGER_ERROR_NOT_HOLDER)
		}
		now := time.Now()
		stamp := Stamp(q.GetKey(), q.GetSubmittedAtMillis())
		if mayBeForgotten(stamp, r.retention(), now) {
			return nil, r.refuse("stampTooOld", wire.LedgerError_LEDGER_ERROR_UNKNOWN_OUTCOME)
		}
		next := old.next()
		next.digest, next.claim = [digestBytes]byte(q.GetDigest()), q.GetClaim()
		next.submittedAt, next.heldAt, next.finishedAt = stamp, now.UnixMilli(), 0
		if mayBeLost(stamp, s.lostAt, r.retention(), now) {
			r.unknown(next, now)
			return next, wire.LedgerError_LEDGER_ERROR_NONE
		}
		next.state = wire.KeyState_KEY_STATE_HELD
		next.holder, next.former, next.outcome = r.intern(q.GetHolder()), nil, nil
		if proto.Size(q.GetSpec()) <= MaxSpecBytes {
			next.spec = q.GetSpec()
		}
		return next, wire.LedgerError_LEDGER_ERROR_NONE
	}
}

// takeOver gives the key of a lost entry to another.
func (r *Replica) takeOver(q *wire.HoldRequest) change {
	return func(_ *shard, old *record) (*record, wire.LedgerError) {
		if !old.taken() || old.state != wire.KeyState_KEY_STATE_HELD || wire.Same(old.holder, q.GetHolder()) {
			return nil, wire.LedgerError_LEDGER_ERROR_NONE
		}
		if !r.book.isDead(r.directory.Directory(), old.holder) {
			return nil, r.refuse("holderAlive", wire.LedgerError_LEDGER_ERROR_NOT_HOLDER)
		}
		next := old.next()
		next.former = append(append([]*wire.Incarnation(nil), old.former...), old.holder)
		next.holder, next.claim = r.intern(q.GetHolder()), q.GetClaim()
		return next, wire.LedgerError_LEDGER_ERROR_NONE
	}
}

// finish records an outcome, where the asking entry may tell it.
func (r *Replica) finish(q *wire.FinishRequest) change {
	return func(s *shard, old *record) (*record, wire.LedgerError) {
		refusal := q.GetOutcome().GetKind() == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN && !q.GetLasting()
		now := time.Now()
		if refusal && old != nil && !old.taken() {
			return r.refuseAgain(q, old, now), wire.LedgerError_LEDGER_ERROR_NONE
		}
		next := old.next()
		next.holder, next.finishedAt = r.intern(q.GetHolder()), now.UnixMilli()
		next.spec, next.claim = nil, q.GetClaim()
		switch {
		case old.heldBy(q.GetHolder(), q.GetClaim()):
		case !old.mayHold(q.GetHolder(), q.GetClaim(), false):
			return nil, wire.LedgerError_LEDGER_ERROR_NONE
		default:
			next.digest = [digestBytes]byte(q.GetDigest())
			next.submittedAt = Stamp(q.GetKey(), q.GetSubmittedAtMillis())
			next.heldAt, next.former = q.GetHeldAtMillis(), nil
			if !r.mayFinish(q, s, next, now) {
				r.unknown(next, now)
				return next, wire.LedgerError_LEDGER_ERROR_NONE
			}
		}
		next.state = wire.KeyState_KEY_STATE_FINISHED
		if q.GetOutcome().GetKind() == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			next.state = wire.KeyState_KEY_STATE_RELEASED
		}
		if next.state == wire.KeyState_KEY_STATE_RELEASED && q.GetLasting() {
			next.state = wire.KeyState_KEY_STATE_REFUSED
		}
		if next.state != wire.KeyState_KEY_STATE_FINISHED {
			next.freed = r.withFreed(old, q)
		}
		next.outcome, next.truncated = encode(q.GetOutcome())
		return next, wire.LedgerError_LEDGER_ERROR_NONE
	}
}

// refuseAgain adds the claim of one more refusal to a key that is free; nil
// where the record has it.
func (r *Replica) refuseAgain(q *wire.FinishRequest, old *record, now time.Time) *record {
	if old.freed.has(q.GetHolder(), q.GetClaim()) {
		return nil
	}
	next := old.next()
	next.freed = r.withFreed(old, q)
	next.finishedAt = now.UnixMilli()
	return next
}

// withFreed returns the freed claims of a record with that of a request.
func (r *Replica) withFreed(old *record, q *wire.FinishRequest) freed {
	var known freed
	if old != nil {
		known = old.freed
	}
	directory := r.directory.Directory()
	dead := func(who *wire.Incarnation) bool { return r.book.isDead(directory, who) }
	return known.with(r.intern(q.GetHolder()), q.GetClaim(), dead)
}

// mayFinish tells whether the outcome of a key without a record is to be
// believed: a failure always is; a refusal where the key can't have been known
// before. Where the shard was lost, the entry must have held the key before,
// and not be dead: else another may have taken the job over and told of it.
func (r *Replica) mayFinish(q *wire.FinishRequest, s *shard, next *record, now time.Time) bool {
	lost := mayBeLost(next.submittedAt, s.lostAt, r.retention(), now)
	switch kind := q.GetOutcome().GetKind(); {
	case kind == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return !lost && !mayBeForgotten(next.submittedAt, r.retention(), now)
	case kind == wire.OutcomeKind_OUTCOME_KIND_FAILED && !lost:
		return true
	default:
		return s.lostAt != 0 && next.heldAt != 0 && !r.book.isDead(r.directory.Directory(), q.GetHolder())
	}
}

// unknown makes a record say that the outcome of its key can't be known.
func (r *Replica) unknown(next *record, now time.Time) {
	r.refuse(reasonUnknown, wire.LedgerError_LEDGER_ERROR_NONE)
	next.state = wire.KeyState_KEY_STATE_FINISHED
	next.finishedAt = now.UnixMilli()
	next.holder, next.former, next.spec = nil, nil, nil
	next.outcome, next.truncated = encode(&wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reasonUnknown})
}

// write changes the record of a key and returns it as it then stands, once
// all members of the view have it.
func (r *Replica) write(ctx context.Context, number uint32, epoch uint64, key string, f change) (*record, wire.LedgerError) {
	s, view, code := r.enterPrimary(ctx, number, epoch)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return nil, code
	}
	if s.lock(ctx, key) != nil {
		return nil, r.refuse("keyBusy", wire.LedgerError_LEDGER_ERROR_IN_DOUBT)
	}
	defer s.unlock(key)
	now, code := r.apply(s, view, key, f)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return nil, code
	}
	return now, r.confirm(ctx, s, view, key, now)
}

// apply stores what follows from a change at this member.
func (r *Replica) apply(s *shard, view *wire.View, key string, f change) (*record, wire.LedgerError) {
	s.mu.Lock()
	if s.epoch != view.GetEpoch() {
		s.mu.Unlock()
		return nil, r.refuse("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	}
	old := s.records[key]
	next, code := f(s, old)
	switch {
	case code != wire.LedgerError_LEDGER_ERROR_NONE:
		s.mu.Unlock()
		return nil, code
	case next == nil && (old == nil || old.epoch == view.GetEpoch()):
		s.mu.Unlock()
		return old, code
	case next == nil:
		// Not every member of this view need have the record yet.
		again := *old
		next = &again
		next.confirmed = false
	}
	next.epoch = view.GetEpoch()
	s.records[key] = next
	s.mu.Unlock()
	r.answers.add(s, key, len(next.outcome))
	return next, code
}
