package job

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// claimPoll is how often a claim by two entries at a time is looked at again.
	claimPoll = 20 * time.Millisecond
	// rejoinTime is how long a job goes on, after the last call for its outcome has
	// returned, for an entry that is about to ask again.
	rejoinTime = 500 * time.Millisecond
)

// join waits for the outcome of a job at the entry that has claimed it. If there is
// none and the job may be run here, ended is not set, and ran tells whether the job
// may have run there.
func (g *Registry) join(ctx context.Context, holder *wire.Member, j Job) (out Outcome, ran, ended bool) {
	waitCtx, cancel := context.WithTimeout(ctx, g.d.waitLimit(j))
	defer cancel()
	defer context.AfterFunc(g.ctx, cancel)()
	p := g.peer(holder)
	began := g.d.clock.Now()
	state := wire.JoinState_JOIN_STATE_OPEN
	for waitCtx.Err() == nil && state == wire.JoinState_JOIN_STATE_OPEN {
		reply, err := g.joinAt(waitCtx, p, j.ID, g.self)
		switch {
		case err == nil:
			state, out.Reason, ran = reply.GetState(), reply.GetReason(), reply.GetRan()
		case g.silence(p) >= g.d.runsEndAfter():
			state, ran = wire.JoinState_JOIN_STATE_FREE, true
		default:
			sleep(waitCtx, joinBackoff)
		}
	}
	switch state {
	case wire.JoinState_JOIN_STATE_FREE:
		return Outcome{}, ran, false
	case wire.JoinState_JOIN_STATE_COMPLETE:
		out.State = Complete
	case wire.JoinState_JOIN_STATE_FAILED:
		out.State = Failed
	default:
		out = Outcome{State: Abandoned, Reason: g.waitEndReason(ctx)}
	}
	g.d.logJoined(j.ID, holder.GetIncarnation(), out, g.d.clock.Now()-began)
	return out, true, true
}

// waitEndReason returns why a wait for another entry ended without an outcome.
func (g *Registry) waitEndReason(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return reasonCallerDisconnected
	case g.ctx.Err() != nil:
		return reasonShuttingDown
	}
	return reasonEarlierRuns
}

// JoinJob implements wire.Registry.
func (g *Registry) JoinJob(ctx context.Context, q *wire.JoinJobRequest) (*wire.JoinJobReply, error) {
	if !g.claims.isAsked(q.GetAsked()) {
		return nil, errOtherIncarnation()
	}
	wait := min(time.Duration(q.GetWaitMillis())*time.Millisecond, joinWait)
	reply, changed := g.d.lookUp(q.GetKey(), q.GetEntry(), wait)
	if reply.GetState() != wire.JoinState_JOIN_STATE_OPEN {
		return reply, nil
	}
	if changed == nil {
		wait = min(wait, claimPoll)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	reply, _ = g.d.lookUp(q.GetKey(), q.GetEntry(), 0)
	return reply, nil
}

// lookUp returns what this entry knows of a job for which another entry waits, and a
// channel that is closed when that changes; nil if only a claim keeps the other entry
// from running the job.
func (d *Dispatcher) lookUp(id string, by *wire.Member, wait time.Duration) (*wire.JoinJobReply, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	job := d.jobs[id]
	switch {
	case job == nil || job.durable != nil:
	case job.answered && job.outcome.isFinal():
		return joinReply(job.outcome), nil
	case job.answered:
		return &wire.JoinJobReply{State: wire.JoinState_JOIN_STATE_OPEN}, job.settled
	default:
		job.joinedUntil = max(job.joinedUntil, d.clock.Now()+wait+rejoinTime)
		return &wire.JoinJobReply{State: wire.JoinState_JOIN_STATE_OPEN}, job.done
	}
	ended := d.endedJobs[id]
	switch {
	case ended.outcome.isFinal():
		return joinReply(ended.outcome), nil
	case d.isClaimed(id, by):
		return &wire.JoinJobReply{State: wire.JoinState_JOIN_STATE_OPEN}, nil
	}
	return &wire.JoinJobReply{State: wire.JoinState_JOIN_STATE_FREE, Ran: ended.ran}, nil
}

// joinReply returns the reply with a final outcome.
func joinReply(out Outcome) *wire.JoinJobReply {
	if out.State == Complete {
		return &wire.JoinJobReply{State: wire.JoinState_JOIN_STATE_COMPLETE}
	}
	return &wire.JoinJobReply{State: wire.JoinState_JOIN_STATE_FAILED, Reason: out.Reason}
}
