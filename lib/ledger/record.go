package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const (
	digestBytes = 32
	// MaxAnswerBytes bounds the answer that is kept for one key. Larger ones
	// are recorded as complete without their results.
	MaxAnswerBytes = 64 << 10
	// MaxSpecBytes bounds the submission that is kept for a takeover. A job
	// with a larger one fails where its entry is lost.
	MaxSpecBytes = 256 << 10
	// tombstoneTime is how long a released key is remembered.
	tombstoneTime = time.Minute
)

// record is one key's state at a replica. All fields but confirmed are fixed
// once it is stored; a change makes a new record.
type record struct {
	digest      [digestBytes]byte
	holder      *wire.Incarnation
	submittedAt int64
	heldAt      int64
	finishedAt  int64
	epoch       uint64
	// outcome is an encoded wire.Outcome.
	outcome   []byte
	spec      *wire.JobSpec
	former    []*wire.Incarnation
	claim     uint64
	freed     freed
	sequence  uint32
	state     wire.KeyState
	truncated bool
	// confirmed tells that all members of the view of epoch have the record.
	confirmed bool
}

// taken tells whether a record claims its key: neither absent nor released.
func (r *record) taken() bool {
	return r != nil && r.state != wire.KeyState_KEY_STATE_RELEASED
}

// heldBy tells whether an incarnation holds the key for the job of a claim.
func (r *record) heldBy(who *wire.Incarnation, claim uint64) bool {
	return r != nil && r.state == wire.KeyState_KEY_STATE_HELD && r.claim == claim && wire.Same(r.holder, who)
}

// mayHold tells whether an incarnation may hold the key now: it is free, or
// left from an earlier job of the same incarnation. A late request of such a
// job may not.
func (r *record) mayHold(who *wire.Incarnation, claim uint64, idempotent bool) bool {
	switch {
	case r == nil:
		return true
	case r.state == wire.KeyState_KEY_STATE_HELD:
		return wire.Same(r.holder, who) && claim > r.claim && len(r.former) == 0
	case r.state == wire.KeyState_KEY_STATE_FINISHED, r.state == wire.KeyState_KEY_STATE_REFUSED && !idempotent:
		return false
	}
	return !r.freed.has(who, claim)
}

// next returns a copy to change, one sequence number on.
func (r *record) next() *record {
	if r == nil {
		return &record{sequence: 1}
	}
	n := *r
	n.sequence++
	n.confirmed = false
	return &n
}

// newer tells whether a record replaces another at a member.
func (r *record) newer(old *record) bool {
	if old == nil || r.epoch != old.epoch {
		return old == nil || r.epoch > old.epoch
	}
	return r.sequence > old.sequence
}

// expired tells whether the record need not be kept any more. Held keys stay
// until their job has ended.
func (r *record) expired(retention time.Duration, now time.Time) bool {
	switch r.state {
	case wire.KeyState_KEY_STATE_HELD:
		return false
	case wire.KeyState_KEY_STATE_RELEASED:
		return now.UnixMilli()-r.finishedAt > tombstoneTime.Milliseconds()
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
		Spec: r.spec, Former: r.former, Epoch: r.epoch, Claim: r.claim, Freed: r.freed,
	}
	if r.outcome != nil {
		m.Outcome = &wire.Outcome{}
		_ = proto.Unmarshal(r.outcome, m.Outcome)
	}
	return m
}

// recordOf checks a message and returns the record in it.
func recordOf(m *wire.Record) (*record, error) {
	if m.GetKey() == "" || len(m.GetDigest()) != digestBytes {
		return nil, invalid("read record", "a record has a key and a digest of 32 bytes")
	}
	if m.GetState() < wire.KeyState_KEY_STATE_HELD || m.GetState() > wire.KeyState_KEY_STATE_RELEASED {
		return nil, invalid("read record", "the state is unknown")
	}
	r := &record{
		digest: [digestBytes]byte(m.GetDigest()), holder: m.GetHolder(), submittedAt: m.GetSubmittedAtMillis(),
		heldAt: m.GetHeldAtMillis(), finishedAt: m.GetFinishedAtMillis(), epoch: m.GetEpoch(),
		spec: m.GetSpec(), former: m.GetFormer(), claim: m.GetClaim(), freed: m.GetFreed(), sequence: uint32(m.GetSequence()), state: m.GetState(),
	}
	if m.GetOutcome() != nil {
		r.outcome, r.truncated = encode(m.GetOutcome())
	}
	return r, nil
}

// encode returns an outcome in its kept form: without results where these are
// too large.
func encode(outcome *wire.Outcome) (b []byte, truncated bool) {
	b, _ = proto.Marshal(outcome)
	if len(b) <= MaxAnswerBytes {
		return b, outcome.GetTruncated()
	}
	return truncate(outcome.GetKind()), true
}

func truncate(kind wire.OutcomeKind) []byte {
	b, _ := proto.Marshal(&wire.Outcome{Kind: kind, Truncated: true})
	return b
}
