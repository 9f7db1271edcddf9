package entry

import (
	"context"
	"net/http"
	"time"

	"skylarklane.example/lib/wire"
)

// answerGrace is how long after the deadline of a job its caller still waits
// for the record of the outcome.
const answerGrace = 5 * time.Second

// refusalPatience is how long the caller of a refused submission waits for the
// ledger to tell of its key, so that an entry that is cut off does not keep its
// callers from others.
const refusalPatience = 5 * time.Second

// answer runs a submission, or joins the run of its key, and tells the outcome.
func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, s *submission) {
	if refused := e.admit(s.spec); refused != nil {
		e.refuseUnheld(ctx, w, s, refused)
		return
	}
	e.pursue(ctx, w, s, nil)
}

// refuseUnheld refuses a submission once the ledger has said that nobody holds
// its key, and tells what became of the key otherwise.
func (e *Entry) refuseUnheld(ctx context.Context, w http.ResponseWriter, s *submission, refused *refusal) {
	e.pursue(ctx, w, s, refused)
}

func (e *Entry) pursue(ctx context.Context, w http.ResponseWriter, s *submission, refused *refusal) {
	patience := time.NewTimer(time.Until(e.deadline(s.spec)) + answerGrace)
	defer patience.Stop()
	for {
		j, mine := e.jobs.open(e.newJob(s, refused))
		if mine {
			e.begin(j)
		}
		p := &pursuit{e: e, w: w, s: s, job: j}
		if !p.heard(ctx) || p.answered(ctx, patience.C) {
			return
		}
	}
}

func (e *Entry) newJob(s *submission, refused *refusal) *job {
	return &job{
		key: s.key, digest: s.digest, spec: s.spec, submittedAt: s.submittedAt,
		deadline: e.deadline(s.spec), refused: refused, lasting: !e.idempotent(s.spec),
	}
}

// begin starts the work on a job, which goes on when its callers go away.
func (e *Entry) begin(j *job) {
	var ctx context.Context
	ctx, j.cancel = context.WithCancel(context.Background())
	go newCoordinator(e, j).run(ctx)
}

func (e *Entry) deadline(spec *wire.JobSpec) time.Time {
	return deadlineOf(Job{Spec: spec}, kindIn(e.follower.Directory(), spec.GetService(), spec.GetKind()), time.Now())
}

// idempotent tells whether a kind is known to be idempotent.
func (e *Entry) idempotent(spec *wire.JobSpec) bool {
	return kindIn(e.follower.Directory(), spec.GetService(), spec.GetKind()).GetIdempotent()
}

// pursuit is one caller's wait for a job.
type pursuit struct {
	e   *Entry
	w   http.ResponseWriter
	s   *submission
	job *job
}

// heard waits, for a refusal, until the ledger has told of the key. It returns
// false where the caller went away or was told that nothing is known.
func (p *pursuit) heard(ctx context.Context) bool {
	if p.job.refused == nil {
		return true
	}
	patience := time.NewTimer(refusalPatience)
	defer patience.Stop()
	return p.await(ctx, p.job.known, patience.C)
}

// answered waits for the job and answers the caller. It returns false where
// the key is to be tried anew.
func (p *pursuit) answered(ctx context.Context, patience <-chan time.Time) bool {
	if !p.job.matches(p.s.digest) || p.s.async {
		if !p.await(ctx, p.job.known, patience) {
			return true
		}
		switch {
		case p.job.held && !p.job.matches(p.s.digest):
			p.e.conflict(p.w)
			return true
		case p.job.held && !p.ended():
			running(p.w, p.s.key)
			return true
		}
	}
	if !p.await(ctx, p.job.done, patience) {
		return true
	}
	if !p.job.matches(p.s.digest) || p.job.outcome == nil {
		return false
	}
	p.e.tell(p.w, p.job)
	return true
}

func (p *pursuit) ended() bool {
	select {
	case <-p.job.done:
		return true
	default:
		return false
	}
}

// await waits for an event of the job. It returns false where the caller went
// away or was told that the wait is over.
func (p *pursuit) await(ctx context.Context, event <-chan struct{}, patience <-chan time.Time) bool {
	select {
	case <-event:
		return true
	case <-ctx.Done():
	case <-patience:
		p.e.metrics.Scope().Counter("unknown_outcomes").Inc(1)
		problem(p.w, http.StatusGatewayTimeout, "failed", reasonUnknown, "the ledger has not confirmed the outcome in time")
	}
	return false
}

// tell answers with the outcome of a job that has ended.
func (e *Entry) tell(w http.ResponseWriter, j *job) {
	if j.outcome.GetKind() == wire.OutcomeKind_OUTCOME_KIND_NOT_RUN && j.refused != nil && j.outcome.GetReason() == j.refused.reason {
		refuse(w, j.refused)
		return
	}
	if j.outcome.GetReason() == reasonConflict {
		e.conflict(w)
		return
	}
	writeOutcome(w, j.key, j.outcome)
}

func (e *Entry) conflict(w http.ResponseWriter) {
	e.metrics.Scope().Tagged(map[string]string{"reason": reasonConflict}).Counter("refusals").Inc(1)
	problem(w, http.StatusConflict, "", reasonConflict, "the key was used with other content")
}
