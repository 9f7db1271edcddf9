package entry

import (
	"context"
	"net/http"
	"time"

	"skylarklane.example/lib/wire"
)

// answerGrace is how long a caller waits, after the deadline of its job, for
// the outcome to be recorded.
const answerGrace = 5 * time.Second

// refusalTimeout is how long the caller of a refused submission waits for the
// ledger's reply about the key. It keeps an entry that is partitioned from the
// ledger from holding up callers that could turn to another entry.
const refusalTimeout = 5 * time.Second

// runSubmission runs a submission, or waits for the running job of its key, and
// responds with the outcome.
func (e *Entry) runSubmission(ctx context.Context, w http.ResponseWriter, s *submission) {
	if refused := e.admit(s); refused != nil {
		e.refuseUnlessHeld(ctx, w, s, refused)
		return
	}
	e.runOrJoin(ctx, w, s, nil)
}

// refuseUnlessHeld refuses a submission once the ledger has confirmed that no
// entry holds its key. If one does, it responds with the state of that job.
func (e *Entry) refuseUnlessHeld(ctx context.Context, w http.ResponseWriter, s *submission, refused *refusal) {
	e.runOrJoin(ctx, w, s, refused)
}

// runOrJoin waits for the job of the submission's key, which it starts if there
// is none, and responds. It tries again if that job was one with other content
// or ended without an outcome.
func (e *Entry) runOrJoin(ctx context.Context, w http.ResponseWriter, s *submission, refused *refusal) {
	timeout := time.NewTimer(time.Until(e.deadline(s.spec)) + answerGrace)
	defer timeout.Stop()
	for {
		j, added := e.jobs.findOrAdd(e.newJob(s, refused))
		if added {
			e.startCoordinator(j)
		}
		p := &waiter{e: e, w: w, s: s, job: j}
		if !p.awaitLedger(ctx) || p.respond(ctx, timeout.C) {
			return
		}
	}
}

func (e *Entry) newJob(s *submission, refused *refusal) *job {
	return &job{
		key: s.key, digest: s.digest, spec: s.spec, submittedAt: s.submittedAt,
		deadline: e.deadline(s.spec), refused: refused, lastingRefusal: !e.idempotent(s.spec),
	}
}

// startCoordinator starts the coordinator of a job. It keeps running after the
// callers have disconnected.
func (e *Entry) startCoordinator(j *job) {
	var ctx context.Context
	ctx, j.cancel = context.WithCancel(context.Background())
	go newCoordinator(e, j).run(ctx)
}

func (e *Entry) deadline(spec *wire.JobSpec) time.Time {
	return deadlineOf(Job{Spec: spec}, findKind(e.follower.Directory(), spec.GetService(), spec.GetKind()), time.Now())
}

// idempotent reports whether the kind is known to be idempotent.
func (e *Entry) idempotent(spec *wire.JobSpec) bool {
	return findKind(e.follower.Directory(), spec.GetService(), spec.GetKind()).GetIdempotent()
}

// waiter is one caller that waits for a job.
type waiter struct {
	e   *Entry
	w   http.ResponseWriter
	s   *submission
	job *job
}

// awaitLedger waits, if the job is refused, for the ledger's reply about the
// key. It returns false if the caller has disconnected or was told that the wait
// timed out.
func (p *waiter) awaitLedger(ctx context.Context) bool {
	if p.job.refused == nil {
		return true
	}
	timeout := time.NewTimer(refusalTimeout)
	defer timeout.Stop()
	return p.await(ctx, p.job.known, timeout.C)
}

// respond waits for the job and responds to the caller. A submission whose
// caller does not wait (async), or whose content differs from the job's, gets its
// response once the ledger has reported that the key is held. It returns false if
// the submission has to be tried again.
func (p *waiter) respond(ctx context.Context, timeout <-chan time.Time) bool {
	if !p.job.matches(p.s.digest) || p.s.async {
		if !p.await(ctx, p.job.known, timeout) {
			return true
		}
		switch {
		case p.job.held && !p.job.matches(p.s.digest):
			p.e.writeConflict(p.w)
			return true
		case p.job.held && !p.ended():
			writeRunning(p.w, p.s.key)
			return true
		}
	}
	if !p.await(ctx, p.job.done, timeout) {
		return true
	}
	if !p.job.matches(p.s.digest) || p.job.outcome == nil {
		return false
	}
	p.e.writeJobOutcome(p.w, p.job)
	return true
}

func (p *waiter) ended() bool {
	select {
	case <-p.job.done:
		return true
	default:
		return false
	}
}

// await waits for an event of the job. It returns false if the caller has
// disconnected or was told that the wait timed out.
func (p *waiter) await(ctx context.Context, event <-chan struct{}, timeout <-chan time.Time) bool {
	select {
	case <-event:
		return true
	case <-ctx.Done():
	case <-timeout:
		p.e.metrics.Scope().Counter("unknown_outcomes").Inc(1)
		writeProblem(p.w, http.StatusGatewayTimeout, "failed", reasonUnknown, "the ledger did not confirm the outcome in time")
	}
	return false
}

// writeJobOutcome responds with the outcome of a job that has ended.
func (e *Entry) writeJobOutcome(w http.ResponseWriter, j *job) {
	if j.outcome.GetKind() == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN && j.refused != nil && j.outcome.GetReason() == j.refused.reason {
		writeRefusal(w, j.refused)
		return
	}
	if j.outcome.GetReason() == reasonConflict {
		e.writeConflict(w)
		return
	}
	writeOutcome(w, j.key, j.outcome)
}

func (e *Entry) writeConflict(w http.ResponseWriter) {
	e.metrics.Scope().Tagged(map[string]string{"reason": reasonConflict}).Counter("refusals").Inc(1)
	writeProblem(w, http.StatusConflict, "", reasonConflict, "the idempotency key was used before with different content")
}
