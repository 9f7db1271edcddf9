package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const (
	digestBytes = 32
	// MaxAnswerBytes bounds the answer stored for one key. A larger one is
	// recorded as complete without its results.
	MaxAnswerBytes = 64 << 10
	// MaxSpecBytes bounds the submission stored for a takeover. A job with a
	// larger one fails if its entry is lost.
	MaxSpecBytes = 256 << 10
	// tombstoneRetention is how long the record of a released key is kept, so
	// that a delayed request cannot restore an older state.
	tombstoneRetention = time.Minute
)

// record is the state of one key at a replica. It is immutable once stored,
// except for confirmed; a change creates a new record.
type record struct {
	digest [digestBytes]byte
	holder *wire.Incarnation
	// submittedAt, heldAt and finishedAt are in Unix milliseconds.
	submittedAt int64
	heldAt      int64
	finishedAt  int64
	epoch       uint64
	// outcome is an encoded wire.Outcome.
	outcome       []byte
	spec          *wire.JobSpec
	formerHolders []*wire.Incarnation
	claim         uint64
	freedClaims   freedClaims
	sequence      uint32
	state         wire.KeyState
	truncated     bool
	// confirmed is true once all members of the view in epoch have the record.
	confirmed bool
}

// inUse reports whether a key is in use: its record is neither absent nor
// released.
func (r *record) inUse() bool {
	return r != nil && r.state != wire.KeyState_KEY_STATE_RELEASED
}

// heldBy reports whether an incarnation holds the key under a claim.
func (r *record) heldBy(inc *wire.Incarnation, claim uint64) bool {
	return r != nil && r.state == wire.KeyState_KEY_STATE_HELD && r.claim == claim && wire.Same(r.holder, inc)
}

// mayHold reports whether an incarnation may be granted the key: the key must be
// free, or held for an earlier job of the same incarnation. The key of a lasting
// refusal is free only to idempotent kinds. A delayed request of an earlier job
// is not granted the key.
func (r *record) mayHold(inc *wire.Incarnation, claim uint64, idempotent bool) bool {
	switch {
	case r == nil:
		return true
	case r.state == wire.KeyState_KEY_STATE_HELD:
		return wire.Same(r.holder, inc) && claim > r.claim && len(r.formerHolders) == 0
	case r.state == wire.KeyState_KEY_STATE_FINISHED, r.state == wire.KeyState_KEY_STATE_REFUSED && !idempotent:
		return false
	}
	return !r.freedClaims.includes(inc, claim)
}

// next returns a copy to modify, with the next sequence number.
func (r *record) next() *record {
	if r == nil {
		return &record{sequence: 1}
	}
	n := *r
	n.sequence++
	n.confirmed = false
	return &n
}

// isNewer reports whether a record replaces old at a member: it has a higher
// epoch, or a higher sequence number in the same epoch.
func (r *record) isNewer(old *record) bool {
	if old == nil || r.epoch != old.epoch {
		return old == nil || r.epoch > old.epoch
	}
	return r.sequence > old.sequence
}

// expired reports whether the record may be deleted. Held keys are kept until
// their job has ended.
func (r *record) expired(retention time.Duration, now time.Time) bool {
	switch r.state {
	case wire.KeyState_KEY_STATE_HELD:
		return false
	case wire.KeyState_KEY_STATE_RELEASED:
		return now.UnixMilli()-r.finishedAt > tombstoneRetention.Milliseconds()
	default:
		return now.UnixMilli()-r.finishedAt > (retention + 2*MaxClockSkew).Milliseconds()
	}
}

// wire returns the record as a message.
func (r *record) wire(key string) *wire.Record {
	if r == nil {
		return nil
	}
	m := &wire.Record{
		Key: key, Digest: r.digest[:], State: r.state, Holder: r.holder, Sequence: uint64(r.sequence),
		SubmittedAtMillis: r.submittedAt, HeldAtMillis: r.heldAt, FinishedAtMillis: r.finishedAt,
		Spec: r.spec, Former: r.formerHolders, Epoch: r.epoch, Claim: r.claim, Freed: r.freedClaims,
	}
	if r.outcome != nil {
		m.Outcome = &wire.Outcome{}
		_ = proto.Unmarshal(r.outcome, m.Outcome)
	}
	return m
}

// recordFromWire validates a message and returns its record.
func recordFromWire(m *wire.Record) (*record, error) {
	if m.GetKey() == "" || len(m.GetDigest()) != digestBytes {
		return nil, invalid("read record", "record must have a key and a digest of 32 bytes")
	}
	if m.GetState() < wire.KeyState_KEY_STATE_HELD || m.GetState() > wire.KeyState_KEY_STATE_RELEASED {
		return nil, invalid("read record", "unknown record state")
	}
	r := &record{
		digest: [digestBytes]byte(m.GetDigest()), holder: m.GetHolder(), submittedAt: m.GetSubmittedAtMillis(),
		heldAt: m.GetHeldAtMillis(), finishedAt: m.GetFinishedAtMillis(), epoch: m.GetEpoch(),
		spec: m.GetSpec(), formerHolders: m.GetFormer(), claim: m.GetClaim(), freedClaims: m.GetFreed(), sequence: uint32(m.GetSequence()), state: m.GetState(),
	}
	if m.GetOutcome() != nil {
		r.outcome, r.truncated = encodeOutcome(m.GetOutcome())
	}
	return r, nil
}

// encodeOutcome returns an outcome as it is stored: without its results if
// they are too large.
func encodeOutcome(outcome *wire.Outcome) (b []byte, truncated bool) {
	b, _ = proto.Marshal(outcome)
	if len(b) <= MaxAnswerBytes {
		return b, outcome.GetTruncated()
	}
	return truncatedOutcome(outcome.GetKind()), true
}

func truncatedOutcome(kind wire.OutcomeKind) []byte {
	b, _ := proto.Marshal(&wire.Outcome{Kind: kind, Truncated: true})
	return b
}
