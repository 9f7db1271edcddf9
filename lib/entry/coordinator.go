package entry

import (
	"bytes"
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// awaitTime is how long another entry may hold a question about its job.
	awaitTime = 10 * time.Second
	// lookInterval is the time between looks at a key that its holder does not
	// tell about.
	lookInterval = 100 * time.Millisecond
)

// reasonConflict marks a job whose key has other content.
const reasonConflict = "keyConflict"

// coordinator brings one job to its recorded outcome.
type coordinator struct {
	e   *Entry
	job *job
	// digest and lasting are those of the record, where the job has none.
	digest  []byte
	lasting bool
	// claimed is the claim in use: new with each try, so that a late request of an earlier one
	// changes nothing.
	claimed uint64
	// forwarded tells that the holder was asked to cancel.
	forwarded bool
}

func newCoordinator(e *Entry, j *job) *coordinator {
	return &coordinator{e: e, job: j, digest: j.digest, lasting: j.lasting}
}

func (c *coordinator) run(ctx context.Context) {
	defer c.job.cancel()
	outcome := c.settle(ctx)
	c.e.jobs.close(c.job, outcome)
}

// settle returns the recorded outcome of the key, whoever runs the job. It is
// nil where nothing is known of the key.
func (c *coordinator) settle(ctx context.Context) *wire.Outcome {
	for {
		outcome, again := c.claim(ctx)
		if !again {
			return outcome
		}
		c.count("claims_again")
	}
}

// claim tries once to get the key, or to refuse it, and follows what the
// ledger says.
func (c *coordinator) claim(ctx context.Context) (outcome *wire.Outcome, again bool) {
	c.claimed = c.e.ledger.NewClaim()
	switch {
	case c.job.spec == nil:
		return c.adopt(ctx)
	case c.job.refused != nil:
		return c.refuse(ctx)
	}
	patience, cancel := context.WithDeadline(ctx, c.job.deadline)
	defer cancel()
	reply, err := c.e.ledger.Hold(patience, &wire.HoldRequest{
		Key: c.job.key, Digest: c.job.digest, SubmittedAtMillis: c.job.submittedAt, Spec: c.job.spec, Claim: c.claimed,
		Idempotent: !c.job.lasting,
	})
	switch {
	case err != nil:
		return c.giveUp(ctx)
	case reply.GetError() == wire.LedgerError_LEDGER_ERROR_CONFLICT:
		return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reasonConflict}, false
	case reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		return failedOutcome(reasonUnknown), false
	case !reply.GetGranted():
		return c.follow(ctx, reply.GetRecord())
	}
	c.job.know(true)
	outcome = c.e.dispatcher.Run(ctx, Job{Key: c.job.key, Spec: c.job.spec, Deadline: c.job.deadline})
	return c.finish(ctx, outcome, reply.GetRecord().GetHeldAtMillis())
}

// giveUp ends a job whose hold is in doubt: it may be recorded, so the key is
// settled as failed before anything else is done with it.
func (c *coordinator) giveUp(ctx context.Context) (*wire.Outcome, bool) {
	c.count("holds_given_up")
	reason := reasonUnknown
	if ctx.Err() != nil {
		reason = reasonCancelled
	}
	return c.finish(ctx, failedOutcome(reason), 0)
}

// refuse records that the key does not run.
func (c *coordinator) refuse(ctx context.Context) (*wire.Outcome, bool) {
	return c.finish(ctx, &wire.Outcome{
		Kind: wire.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: c.job.refused.reason, Detail: c.job.refused.detail,
	}, 0)
}

// finish records an outcome and returns what the ledger then says. It asks
// until it knows: the end of the job's context does not end it.
func (c *coordinator) finish(ctx context.Context, outcome *wire.Outcome, heldAtMillis int64) (*wire.Outcome, bool) {
	reply, err := c.e.ledger.Finish(context.WithoutCancel(ctx), &wire.FinishRequest{
		Key: c.job.key, Digest: c.digest, Outcome: outcome, Lasting: c.lasting,
		SubmittedAtMillis: c.job.submittedAt, HeldAtMillis: heldAtMillis, Claim: c.claimed,
	})
	if err != nil {
		return failedOutcome(reasonUnknown), false
	}
	record := reply.GetRecord()
	if kept := record.GetOutcome(); kept.GetTruncated() && kept.GetKind() == outcome.GetKind() && record.GetClaim() == c.claimed && c.isSelf(record.GetHolder()) {
		return outcome, false
	}
	return c.follow(ctx, record)
}

// follow waits for the outcome of a key that has a record.
func (c *coordinator) follow(ctx context.Context, record *wire.Record) (outcome *wire.Outcome, again bool) {
	for {
		if record != nil && c.job.digest != nil && !bytes.Equal(record.GetDigest(), c.job.digest) {
			return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reasonConflict}, false
		}
		switch record.GetState() {
		case wire.KeyState_KEY_STATE_FINISHED, wire.KeyState_KEY_STATE_REFUSED, wire.KeyState_KEY_STATE_RELEASED:
			c.job.know(true)
			return record.GetOutcome(), false
		case wire.KeyState_KEY_STATE_HELD:
			c.job.know(true)
		default:
			return nil, c.job.spec != nil
		}
		switch {
		case c.isSelf(record.GetHolder()):
			return c.release(ctx, record)
		case c.e.ledger.IsDead(record.GetHolder()):
			return c.takeOver(ctx, record)
		}
		if outcome := c.await(ctx, record); outcome != nil {
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

// await asks the holder for the outcome, and first, where the job was
// cancelled here, to cancel it there.
func (c *coordinator) await(ctx context.Context, record *wire.Record) *wire.Outcome {
	if ctx.Err() != nil && !c.forwarded {
		c.forwarded = true
		c.e.cancelAt(ctx, record)
	}
	if c.forwarded {
		ctx = context.WithoutCancel(ctx)
	}
	return c.e.awaitAt(ctx, record)
}

// release frees a key that is held for an earlier job of this entry, of which
// nothing runs any more: jobs stay at the entry until their end is recorded.
func (c *coordinator) release(ctx context.Context, record *wire.Record) (*wire.Outcome, bool) {
	c.count("orphans")
	outcome := &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: "released"}
	if len(record.GetFormer()) > 0 {
		// Tasks of the former holder may have started.
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
	return c.follow(ctx, reply.GetRecord())
}

// adopt looks after a key that nobody has submitted here.
func (c *coordinator) adopt(ctx context.Context) (*wire.Outcome, bool) {
	reply, err := c.e.ledger.Look(context.WithoutCancel(ctx), c.job.key)
	if err != nil {
		return failedOutcome(reasonUnknown), false
	}
	return c.follow(ctx, reply.GetRecord())
}

func (c *coordinator) isSelf(who *wire.Incarnation) bool {
	return who.GetNumber() == c.e.follower.Member().GetIncarnation().GetNumber()
}

func (c *coordinator) pause() { time.Sleep(lookInterval) }

func (c *coordinator) count(name string) { c.e.metrics.Scope().Counter(name).Inc(1) }

// awaitAt asks the holder of a key for its outcome; nil where it does not tell.
func (e *Entry) awaitAt(ctx context.Context, record *wire.Record) *wire.Outcome {
	holder := e.memberOf(record.GetHolder())
	if holder == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, awaitTime+time.Second)
	defer cancel()
	reply, err := e.peer(holder).Await(ctx, &wire.AwaitRequest{
		Key: record.GetKey(), Holder: record.GetHolder(), WaitMillis: awaitTime.Milliseconds(),
	})
	if err != nil {
		e.metrics.Scope().Counter("awaits_again").Inc(1)
		return nil
	}
	return reply.GetOutcome()
}

// cancelAt asks the holder of a key to cancel its job.
func (e *Entry) cancelAt(ctx context.Context, record *wire.Record) {
	holder := e.memberOf(record.GetHolder())
	if holder == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookPatience)
	defer cancel()
	_, _ = e.peer(holder).CancelJob(ctx, &wire.CancelJobRequest{Key: record.GetKey()})
}

func (e *Entry) memberOf(who *wire.Incarnation) *wire.Member {
	for _, member := range e.follower.Directory().GetMembers() {
		if member.GetIncarnation().GetNumber() == who.GetNumber() {
			return member
		}
	}
	return nil
}

func (e *Entry) peer(member *wire.Member) wire.Entry {
	return wire.NewEntryProtobufClient("http://"+member.GetAddress(), e.client)
}

func failedOutcome(reason string) *wire.Outcome {
	return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reason}
}
