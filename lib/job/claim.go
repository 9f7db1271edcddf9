package job

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

var errIncompleteReply = &Error{Op: "claim", Kind: KindUnanswered, Err: eris.New("the reply has too few results")}

// claim claims the job of a submission for this entry, in place of a former one. It
// returns the other entry that has the job, nil if the claim is granted. It fails if
// it has taken so long that the job may have been taken over.
func (g *Registry) claim(ctx context.Context, c *claiming, former *wire.Incarnation) (holder *wire.Member, ok bool) {
	ctx, cancel := g.untilShutdown(ctx)
	defer cancel()
	g.d.setAsking(c, true)
	began := g.d.clock.Now()
	holder = g.ask(ctx, c.id, g.self, former)
	took := g.d.clock.Now() - began
	g.d.metrics.claimed.RecordDuration(took)
	if holder != nil {
		g.d.setAsking(c, false)
		g.asked.Inc("held")
		return holder, true
	}
	if took > maxClaimTime || ctx.Err() != nil {
		g.d.setAsking(c, false)
		g.asked.Inc("late")
		return nil, false
	}
	return g.d.win(c), true
}

// grant records the claim of an entry to a job, or returns the other entry that has
// the job.
func (g *Registry) grant(id string, by *wire.Member, former *wire.Incarnation) (holder *wire.Member) {
	self := g.self.GetIncarnation()
	isOther := !wire.Same(by.GetIncarnation(), self) && !wire.Same(former, self)
	if isOther && g.d.hasJob(id) {
		return g.self
	}
	holder, granted := g.claims.grant(id, by, former, isOther && g.d.isBarred(id))
	if holder == nil && !granted {
		return g.self
	}
	return holder
}

// AcquireJobs implements wire.Registry.
func (g *Registry) AcquireJobs(_ context.Context, q *wire.AcquireJobsRequest) (*wire.AcquireJobsReply, error) {
	if !g.claims.isAsked(q.GetAsked()) {
		return nil, errOtherIncarnation()
	}
	reply := &wire.AcquireJobsReply{}
	for _, key := range q.GetKeys() {
		holder := g.claims.otherHolder(key, q.GetEntry(), q.GetFormer())
		if !q.GetPeek() {
			holder = g.grant(key, q.GetEntry(), q.GetFormer())
		}
		reply.Results = append(reply.Results, &wire.AcquireJobResult{Holder: holder})
	}
	return reply, nil
}

// runsEndAfter is how long the runs of an entry may go on after it was lost.
func (d *Dispatcher) runsEndAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Session + d.cfg.RunGrace
}
