package ledger

import (
	"bytes"
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const reasonUnknownOutcome = "unknownOutcome"

// Hold implements wire.Ledger.
func (r *Replica) Hold(ctx context.Context, q *wire.HoldRequest) (*wire.HoldReply, error) {
	if q.GetKey() == "" || (!q.GetTakeover() && len(q.GetDigest()) != digestBytes) {
		return nil, twirp.InvalidArgumentError("digest", "must have 32 bytes, and the key must not be empty")
	}
	change := r.hold(q)
	if q.GetTakeover() {
		change = r.takeOver(q)
	}
	current, code := r.write(ctx, q.GetShard(), q.GetEpoch(), q.GetKey(), change)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.HoldReply{Error: code}, nil
	}
	reply := &wire.HoldReply{Granted: current.heldBy(q.GetHolder(), q.GetClaim()), Record: current.wire(q.GetKey())}
	switch {
	case !current.inUse():
		reply.Record = nil
	case !q.GetTakeover() && !bytes.Equal(current.digest[:], q.GetDigest()):
		return &wire.HoldReply{Error: r.countRefusal("keyConflict", wire.LedgerError_LEDGER_ERROR_CONFLICT)}, nil
	}
	return reply, nil
}

// Finish implements wire.Ledger.
func (r *Replica) Finish(ctx context.Context, q *wire.FinishRequest) (*wire.FinishReply, error) {
	if q.GetKey() == "" || len(q.GetDigest()) != digestBytes || q.GetOutcome().GetKind() == wire.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return nil, twirp.InvalidArgumentError("outcome", "must have a kind, the digest 32 bytes, and the key must not be empty")
	}
	current, code := r.write(ctx, q.GetShard(), q.GetEpoch(), q.GetKey(), r.finish(q))
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.FinishReply{Error: code}, nil
	}
	return &wire.FinishReply{Record: current.wire(q.GetKey())}, nil
}

// Look implements wire.Ledger. It goes through write although it changes
// nothing, so that the record is confirmed by all members of the view before it
// is returned.
func (r *Replica) Look(ctx context.Context, q *wire.LookRequest) (*wire.LookReply, error) {
	current, code := r.write(ctx, q.GetShard(), q.GetEpoch(), q.GetKey(), noChange)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.LookReply{Error: code}, nil
	}
	if !current.inUse() {
		return &wire.LookReply{}, nil
	}
	return &wire.LookReply{Record: current.wire(q.GetKey())}, nil
}

// changeFunc returns the record that replaces old, nil if nothing changes. It
// returns an error code if the request is refused. It is called with the shard
// locked.
type changeFunc func(s *shard, old *record) (*record, wire.LedgerError)

func noChange(*shard, *record) (*record, wire.LedgerError) {
	return nil, wire.LedgerError_LEDGER_ERROR_NONE
}

// hold returns the change for a request to hold a key.
func (r *Replica) hold(q *wire.HoldRequest) changeFunc {
	return func(s *shard, old *record) (*record, wire.LedgerError) {
		if !old.mayHold(q.GetHolder(), q.GetClaim(), q.GetIdempotent()) {
			return nil, wire.LedgerError_LEDGER_ERROR_NONE
		}
		if r.memberIndex.isDead(r.directory.Directory(), q.GetHolder()) {
			return nil, r.countRefusal("holderDead", wire.LedgerError_LEDGER_ERROR_NOT_HOLDER)
		}
		now := time.Now()
		submissionTime := SubmissionTime(q.GetKey(), q.GetSubmittedAtMillis())
		if mayHaveExpired(submissionTime, r.retention(), now) {
			return nil, r.countRefusal("stampTooOld", wire.LedgerError_LEDGER_ERROR_UNKNOWN_OUTCOME)
		}
		next := old.next()
		next.digest, next.claim = [digestBytes]byte(q.GetDigest()), q.GetClaim()
		next.submittedAt, next.heldAt, next.finishedAt = submissionTime, now.UnixMilli(), 0
		if mayHaveBeenLost(submissionTime, s.lostAt, r.retention(), now) {
			r.setUnknownOutcome(next, now)
			return next, wire.LedgerError_LEDGER_ERROR_NONE
		}
		next.state = wire.KeyState_KEY_STATE_HELD
		next.holder, next.formerHolders, next.outcome = r.intern(q.GetHolder()), nil, nil
		if proto.Size(q.GetSpec()) <= MaxSpecBytes {
			next.spec = q.GetSpec()
		}
		return next, wire.LedgerError_LEDGER_ERROR_NONE
	}
}

// takeOver returns the change for a request to take over the key of a dead
// entry.
func (r *Replica) takeOver(q *wire.HoldRequest) changeFunc {
	return func(_ *shard, old *record) (*record, wire.LedgerError) {
		if !old.inUse() || old.state != wire.KeyState_KEY_STATE_HELD || wire.Same(old.holder, q.GetHolder()) {
			return nil, wire.LedgerError_LEDGER_ERROR_NONE
		}
		if !r.memberIndex.isDead(r.directory.Directory(), old.holder) {
			return nil, r.countRefusal("holderAlive", wire.LedgerError_LEDGER_ERROR_NOT_HOLDER)
		}
		next := old.next()
		next.formerHolders = append(append([]*wire.Incarnation(nil), old.formerHolders...), old.holder)
		next.holder, next.claim = r.intern(q.GetHolder()), q.GetClaim()
		return next, wire.LedgerError_LEDGER_ERROR_NONE
	}
}

// finish returns the change that records an outcome, if the requesting entry may
// set it.
func (r *Replica) finish(q *wire.FinishRequest) changeFunc {
	return func(s *shard, old *record) (*record, wire.LedgerError) {
		refusal := q.GetOutcome().GetKind() == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN && !q.GetLasting()
		now := time.Now()
		if refusal && old != nil && !old.inUse() {
			return r.addRefusal(q, old, now), wire.LedgerError_LEDGER_ERROR_NONE
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
			next.submittedAt = SubmissionTime(q.GetKey(), q.GetSubmittedAtMillis())
			next.heldAt, next.formerHolders = q.GetHeldAtMillis(), nil
			if !r.mayFinish(q, s, next, now) {
				r.setUnknownOutcome(next, now)
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
			next.freedClaims = r.withFreedClaim(old, q)
		}
		next.outcome, next.truncated = encodeOutcome(q.GetOutcome())
		return next, wire.LedgerError_LEDGER_ERROR_NONE
	}
}

// addRefusal returns the record of a free key with the claim of another refusal
// added, nil if the record already has the claim.
func (r *Replica) addRefusal(q *wire.FinishRequest, old *record, now time.Time) *record {
	if old.freedClaims.includes(q.GetHolder(), q.GetClaim()) {
		return nil
	}
	next := old.next()
	next.freedClaims = r.withFreedClaim(old, q)
	next.finishedAt = now.UnixMilli()
	return next
}

// withFreedClaim returns the freed claims of a record with that of a request
// added.
func (r *Replica) withFreedClaim(old *record, q *wire.FinishRequest) freedClaims {
	var known freedClaims
	if old != nil {
		known = old.freedClaims
	}
	directory := r.directory.Directory()
	dead := func(inc *wire.Incarnation) bool { return r.memberIndex.isDead(directory, inc) }
	return known.with(r.intern(q.GetHolder()), q.GetClaim(), dead)
}

// mayFinish reports whether to accept an outcome from an entry that does not
// hold the key according to the shard's records:
//   - A refusal is accepted if no earlier record of the key can have expired or
//     been lost.
//   - A failure is accepted if no earlier record can have been lost.
//   - Otherwise a failure or a complete outcome is accepted if the shard was
//     lost and the entry held the key before and is not dead. If it is dead,
//     another entry may have taken over the job and reported its outcome.
func (r *Replica) mayFinish(q *wire.FinishRequest, s *shard, next *record, now time.Time) bool {
	lost := mayHaveBeenLost(next.submittedAt, s.lostAt, r.retention(), now)
	switch kind := q.GetOutcome().GetKind(); {
	case kind == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return !lost && !mayHaveExpired(next.submittedAt, r.retention(), now)
	case kind == wire.OutcomeKind_OUTCOME_KIND_FAILED && !lost:
		return true
	default:
		return s.lostAt != 0 && next.heldAt != 0 && !r.memberIndex.isDead(r.directory.Directory(), q.GetHolder())
	}
}

// setUnknownOutcome marks a record as finished with a failure that says that the
// outcome is unknown.
func (r *Replica) setUnknownOutcome(next *record, now time.Time) {
	r.countRefusal(reasonUnknownOutcome, wire.LedgerError_LEDGER_ERROR_NONE)
	next.state = wire.KeyState_KEY_STATE_FINISHED
	next.finishedAt = now.UnixMilli()
	next.holder, next.formerHolders, next.spec = nil, nil, nil
	next.outcome, next.truncated = encodeOutcome(&wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reasonUnknownOutcome})
}

// write applies a change to the record of a key. It returns the resulting record
// once all members of the view have it.
func (r *Replica) write(ctx context.Context, number uint32, epoch uint64, key string, f changeFunc) (*record, wire.LedgerError) {
	s, view, code := r.resolveAsPrimary(ctx, number, epoch)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return nil, code
	}
	if s.lockKey(ctx, key) != nil {
		return nil, r.countRefusal("keyBusy", wire.LedgerError_LEDGER_ERROR_IN_DOUBT)
	}
	defer s.unlockKey(key)
	current, code := r.apply(s, view, key, f)
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return nil, code
	}
	return current, r.confirm(ctx, s, view, key, current)
}

// apply stores the result of a change at this member only, and returns the
// record that is then in effect.
func (r *Replica) apply(s *shard, view *wire.View, key string, f changeFunc) (*record, wire.LedgerError) {
	s.mu.Lock()
	if s.epoch != view.GetEpoch() {
		s.mu.Unlock()
		return nil, r.countRefusal("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
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
		// Some members of this view may not have the record yet.
		unconfirmed := *old
		next = &unconfirmed
		next.confirmed = false
	}
	next.epoch = view.GetEpoch()
	s.records[key] = next
	s.mu.Unlock()
	r.answerCache.add(s, key, len(next.outcome))
	return next, code
}
