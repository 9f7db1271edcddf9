package entry

import (
	"bytes"
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// awaitLongPoll is how long another entry may delay its reply to Await.
	awaitLongPoll = 10 * time.Second
	// pollInterval is the time between reads of a record while its holder does
	// not answer.
	pollInterval = 100 * time.Millisecond
)

// reasonConflict means that the key was used before for a submission with
// different content.
const reasonConflict = "keyConflict"

// coordinator drives one job until its outcome is recorded in the ledger.
type coordinator struct {
	e   *Entry
	job *job
	// digest and lastingRefusal are copied from the job, or from the ledger's
	// record when the job is taken over.
	digest         []byte
	lastingRefusal bool
	// claimID is the ledger claim of the current attempt. Each attempt uses a
	// new one, so that a delayed request of an earlier attempt has no effect.
	claimID uint64
	// cancelForwarded is set once the holder was asked to cancel the job.
	cancelForwarded bool
}

func newCoordinator(e *Entry, j *job) *coordinator {
	return &coordinator{e: e, job: j, digest: j.digest, lastingRefusal: j.lastingRefusal}
}

func (c *coordinator) run(ctx context.Context) {
	defer c.job.cancel()
	outcome := c.resolve(ctx)
	c.e.jobs.close(c.job, outcome)
}

// resolve returns the recorded outcome of the key, whichever entry runs the
// job, or nil if the ledger has no record of it.
func (c *coordinator) resolve(ctx context.Context) *wire.Outcome {
	for {
		outcome, retry := c.attempt(ctx)
		if !retry {
			return outcome
		}
		c.count("claims_again")
	}
}

// attempt asks the ledger once to hold the key, or to record the refusal, or for
// the record if there is no submission, and handles the reply. retry is true if
// a new attempt is needed.
func (c *coordinator) attempt(ctx context.Context) (outcome *wire.Outcome, retry bool) {
	c.claimID = c.e.ledger.NextClaim()
	switch {
	case c.job.spec == nil:
		return c.adopt(ctx)
	case c.job.refused != nil:
		return c.recordRefusal(ctx)
	}
	holdCtx, cancel := context.WithDeadline(ctx, c.job.deadline)
	defer cancel()
	reply, err := c.e.ledger.Hold(holdCtx, &wire.HoldRequest{
		Key: c.job.key, Digest: c.job.digest, SubmittedAtMillis: c.job.submittedAt, Spec: c.job.spec, Claim: c.claimID,
		Idempotent: !c.job.lastingRefusal,
	})
	switch {
	case err != nil:
		return c.failUncertainHold(ctx)
	case reply.GetError() == wire.LedgerError_LEDGER_ERROR_CONFLICT:
		return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reasonConflict}, false
	case reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		return failedOutcome(reasonUnknown), false
	case !reply.GetGranted():
		return c.awaitOutcome(ctx, reply.GetRecord())
	}
	c.job.markKnown(true)
	outcome = c.e.dispatcher.Run(ctx, Job{Key: c.job.key, Spec: c.job.spec, Deadline: c.job.deadline})
	return c.recordOutcome(ctx, outcome, reply.GetRecord().GetHeldAtMillis())
}

// failUncertainHold ends a job whose hold request has failed. The hold may
// still have been recorded, so the key is recorded as failed before anything
// else uses it.
func (c *coordinator) failUncertainHold(ctx context.Context) (*wire.Outcome, bool) {
	c.count("holds_given_up")
	reason := reasonUnknown
	if ctx.Err() != nil {
		reason = reasonCancelled
	}
	return c.recordOutcome(ctx, failedOutcome(reason), 0)
}

// recordRefusal records that the job does not run.
func (c *coordinator) recordRefusal(ctx context.Context) (*wire.Outcome, bool) {
	return c.recordOutcome(ctx, &wire.Outcome{
		Kind: wire.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: c.job.refused.reason, Detail: c.job.refused.detail,
	}, 0)
}

// recordOutcome records an outcome and returns the one that the ledger has
// afterwards, which may be another. It retries until the ledger has answered,
// even after the job was cancelled. A truncated record is not returned if this
// claim made it: the full outcome is.
func (c *coordinator) recordOutcome(ctx context.Context, outcome *wire.Outcome, heldAtMillis int64) (*wire.Outcome, bool) {
	reply, err := c.e.ledger.Finish(context.WithoutCancel(ctx), &wire.FinishRequest{
		Key: c.job.key, Digest: c.digest, Outcome: outcome, Lasting: c.lastingRefusal,
		SubmittedAtMillis: c.job.submittedAt, HeldAtMillis: heldAtMillis, Claim: c.claimID,
	})
	if err != nil {
		return failedOutcome(reasonUnknown), false
	}
	record := reply.GetRecord()
	if recorded := record.GetOutcome(); recorded.GetTruncated() && recorded.GetKind() == outcome.GetKind() && record.GetClaim() == c.claimID && c.isSelf(record.GetHolder()) {
		return outcome, false
	}
	return c.awaitOutcome(ctx, record)
}

// awaitOutcome waits for the outcome of a key with the given record, and takes
// the job over if its holder is dead. retry is true if a new attempt to hold the
// key is needed.
func (c *coordinator) awaitOutcome(ctx context.Context, record *wire.Record) (outcome *wire.Outcome, retry bool) {
	for {
		if record != nil && c.job.digest != nil && !bytes.Equal(record.GetDigest(), c.job.digest) {
			return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reasonConflict}, false
		}
		switch record.GetState() {
		case wire.KeyState_KEY_STATE_FINISHED, wire.KeyState_KEY_STATE_REFUSED, wire.KeyState_KEY_STATE_RELEASED:
			c.job.markKnown(true)
			return record.GetOutcome(), false
		case wire.KeyState_KEY_STATE_HELD:
			c.job.markKnown(true)
		default:
			return nil, c.job.spec != nil
		}
		switch {
		case c.isSelf(record.GetHolder()):
			return c.releaseOrphan(ctx, record)
		case c.e.ledger.IsDead(record.GetHolder()):
			return c.takeOver(ctx, record)
		}
		if outcome := c.awaitHolder(ctx, record); outcome != nil {
			return outcome, false
		}
		c.pause()
		reply, err := c.e.ledger.Look(context.WithoutCancel(ctx), c.job.key)
		if err != nil {
			return failedOutcome(reasonUnknown), false
		}
		record = reply.GetRecord()
	}
}

// awaitHolder asks the holder for the outcome, or returns nil if the holder has
// none. If the job was cancelled here, it first asks the holder to cancel it.
func (c *coordinator) awaitHolder(ctx context.Context, record *wire.Record) *wire.Outcome {
	if ctx.Err() != nil && !c.cancelForwarded {
		c.cancelForwarded = true
		c.e.cancelAtHolder(ctx, record)
	}
	if c.cancelForwarded {
		ctx = context.WithoutCancel(ctx)
	}
	return c.e.awaitAtHolder(ctx, record)
}

// releaseOrphan releases a key that an earlier job of this entry still holds
// according to the ledger. That job no longer runs: a running job stays registered
// until its outcome is recorded.
func (c *coordinator) releaseOrphan(ctx context.Context, record *wire.Record) (*wire.Outcome, bool) {
	c.count("orphans")
	outcome := &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: "released"}
	if len(record.GetFormer()) > 0 {
		// The former holder may have started tasks.
		outcome = failedOutcome(reasonUnknown)
	}
	reply, err := c.e.ledger.Finish(context.WithoutCancel(ctx), &wire.FinishRequest{
		Key: c.job.key, Digest: record.GetDigest(), Claim: record.GetClaim(),
		Outcome: outcome,
	})
	if err != nil {
		return failedOutcome(reasonUnknown), false
	}
	if reply.GetRecord().GetState() == wire.KeyState_KEY_STATE_RELEASED {
		return nil, c.job.spec != nil
	}
	return c.awaitOutcome(ctx, reply.GetRecord())
}

// adopt resolves the outcome of a key without a submission at this entry.
func (c *coordinator) adopt(ctx context.Context) (*wire.Outcome, bool) {
	reply, err := c.e.ledger.Look(context.WithoutCancel(ctx), c.job.key)
	if err != nil {
		return failedOutcome(reasonUnknown), false
	}
	return c.awaitOutcome(ctx, reply.GetRecord())
}

func (c *coordinator) isSelf(incarnation *wire.Incarnation) bool {
	return incarnation.GetNumber() == c.e.follower.Member().GetIncarnation().GetNumber()
}

func (c *coordinator) pause() { time.Sleep(pollInterval) }

func (c *coordinator) count(name string) { c.e.metrics.Scope().Counter(name).Inc(1) }

// awaitAtHolder asks the holder of a key for the outcome; nil if it does not
// return one.
func (e *Entry) awaitAtHolder(ctx context.Context, record *wire.Record) *wire.Outcome {
	holder := e.memberOf(record.GetHolder())
	if holder == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, awaitLongPoll+time.Second)
	defer cancel()
	reply, err := e.entryClient(holder).Await(ctx, &wire.AwaitRequest{
		Key: record.GetKey(), Holder: record.GetHolder(), WaitMillis: awaitLongPoll.Milliseconds(),
	})
	if err != nil {
		e.metrics.Scope().Counter("awaits_again").Inc(1)
		return nil
	}
	return reply.GetOutcome()
}

// cancelAtHolder asks the holder of a key to cancel its job.
func (e *Entry) cancelAtHolder(ctx context.Context, record *wire.Record) {
	holder := e.memberOf(record.GetHolder())
	if holder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	_, _ = e.entryClient(holder).CancelJob(ctx, &wire.CancelJobRequest{Key: record.GetKey()})
}

// memberOf returns the member with the given incarnation; nil if it is not in
// the directory.
func (e *Entry) memberOf(incarnation *wire.Incarnation) *wire.Member {
	for _, member := range e.follower.Directory().GetMembers() {
		if member.GetIncarnation().GetNumber() == incarnation.GetNumber() {
			return member
		}
	}
	return nil
}

func (e *Entry) entryClient(member *wire.Member) wire.Entry {
	return wire.NewEntryProtobufClient("http://"+member.GetAddress(), e.client)
}

func failedOutcome(reason string) *wire.Outcome {
	return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reason}
}
