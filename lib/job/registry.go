package job

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

const (
	// maxClaimTime is how long a claim may take; a longer one was suspended, and others
	// may have taken the job over meanwhile.
	maxClaimTime = 700 * time.Millisecond
	// joinBackoff is the wait after an unanswered call for the outcome of a job.
	joinBackoff = 50 * time.Millisecond
)

var _ wire.Registry = (*Registry)(nil)

// Registry has each best-effort job run at one entry at a time. See
// docs/design/exclusive-jobs.md.
type Registry struct {
	*Asker
	d    *Dispatcher
	self *wire.Member

	// indexMu guards indexed, the owners at which each open job was last claimed.
	indexMu sync.Mutex
	indexed map[string]indexedJob
}

// indexedJob is where and when an open job was last claimed.
type indexedJob struct {
	owners []*wire.Member
	at     time.Duration
}

// NewRegistry returns the registry of the entry self, for which a asks. Run must be
// called to follow changes of the directory.
func NewRegistry(d *Dispatcher, self *wire.Member, a *Asker) *Registry {
	g := &Registry{Asker: a, d: d, self: self, indexed: map[string]indexedJob{}}
	a.grantHere, a.isLate, a.isEntry = g.grant, d.isLagging, true
	return g
}

// Handler serves other members under wire.RegistryPathPrefix.
func (g *Registry) Handler() http.Handler { return wire.NewRegistryServer(g) }

// Run follows the directory and repeats claims until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	g.calls.Go(func() { g.repeatLoop(ctx) })
	g.Asker.Run(ctx)
}

// repeatLoop repeats the claims of open jobs.
func (g *Registry) repeatLoop(ctx context.Context) {
	timer := time.NewTimer(clock.UntilNext(firstReclaim))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(clock.UntilNext(firstReclaim))
			g.reclaim()
		}
	}
}

// Submit runs a job and returns its outcome. If another entry runs it, the outcome is
// that entry's. The agents that start its tasks claim the job for this entry first; the
// entry itself does so only if it has a job that another entry may run, too.
func (g *Registry) Submit(ctx context.Context, j Job) Outcome {
	c := g.d.beginClaim(j.ID)
	defer g.d.endClaim(c)
	j.claiming = c
	g.d.setAsking(c, true) // from here on, claims by others are checked against it
	if g.wasSuspended() || g.claims.otherHolder(j.ID, g.self, nil) != nil {
		return g.submitClaimed(ctx, j)
	}
	j.claimant = g.self
	out := g.d.Submit(ctx, j)
	g.d.setAsking(c, false)
	if out.Reason != wire.ReasonClaimed && (out.State != NotRun || out.Reason == reasonCallerDisconnected || g.holder(ctx, j.ID) == nil) {
		return out
	}
	j.claimant, j.isElsewhere = nil, true
	return g.submitClaimed(ctx, j)
}

// holder returns the other entry that has claimed a job, as far as it is known.
func (g *Registry) holder(ctx context.Context, id string) *wire.Member {
	ctx, cancel := g.untilShutdown(ctx)
	defer cancel()
	return g.lookUp(ctx, id, g.self)
}

// untilShutdown returns a context for calls to other members before a request is
// answered. It ends with ctx, or answerMargin after the registry was shut down, so that
// the request is answered before the process ends.
func (g *Registry) untilShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.ctx, func() {
		sleep(ctx, answerMargin)
		cancel()
	})
	return ctx, func() { stop(); cancel() }
}

// submitClaimed claims a job before it runs it.
func (g *Registry) submitClaimed(ctx context.Context, j Job) Outcome {
	var former *wire.Incarnation
	for ctx.Err() == nil && g.ctx.Err() == nil {
		if !j.Deadline.IsZero() && time.Now().After(j.Deadline) {
			j.ranBefore = j.ranBefore || j.isElsewhere
			return g.d.refuse(j, reasonDeadline)
		}
		holder, ok := g.claim(ctx, j.claiming, former)
		switch {
		case !ok: // the claim took too long
		case holder == nil:
			return g.d.Submit(ctx, j)
		default:
			out, ran, ended := g.join(ctx, holder, j)
			if ended {
				return out
			}
			g.d.endRivalry(j.claiming, holder)
			j.ranBefore, j.isElsewhere = j.ranBefore || ran, false
			former = holder.GetIncarnation()
		}
	}
	j.ranBefore = j.ranBefore || j.isElsewhere
	return g.d.refuse(j, g.waitEndReason(ctx))
}

// Shutdown refuses new jobs and waits for the open ones, and for those of other
// entries that requests here wait for. Those still open when ctx ends are stopped.
func (g *Registry) Shutdown(ctx context.Context) {
	defer g.cancel()
	g.d.Shutdown(ctx)
}

// reclaim repeats the claims of open jobs whose owner has changed, and those that
// their owner would soon forget.
func (g *Registry) reclaim() {
	open := g.d.openJobs()
	for _, due := range g.dueClaims(open) {
		g.calls.Go(func() { g.repeat(due) })
	}
}

// dueClaims are jobs that have to be claimed again for an entry at an owner.
type dueClaims struct {
	owner, by *wire.Member
	ids       []string
}

// dueClaims returns the open jobs whose claims have to be repeated, by owner, and
// records that they are. The owners of a new job have its first claim from an agent, which
// may not have had the newest directory, so that it is repeated after firstReclaim.
func (g *Registry) dueClaims(open []string) map[memberKey]*dueClaims {
	g.indexMu.Lock()
	defer g.indexMu.Unlock()
	now := g.d.clock.Now()
	indexed := make(map[string]indexedJob, len(open))
	due := map[memberKey]*dueClaims{}
	for _, id := range open {
		last, found := g.indexed[id]
		owners := g.listedOwnersOf(id)
		if len(owners) == 0 || found && slices.EqualFunc(last.owners, owners, isSame) && now-last.at < reclaimInterval {
			indexed[id] = last
			continue
		}
		if !found {
			indexed[id] = indexedJob{owners, now - reclaimInterval}
			continue
		}
		indexed[id] = indexedJob{owners, now}
		for _, owner := range owners {
			key := keyOfMember(owner)
			if due[key] == nil {
				due[key] = &dueClaims{owner: owner, by: g.self}
			}
			due[key].ids = append(due[key].ids, id)
		}
	}
	g.indexed = indexed
	return due
}

// isSame reports whether two members are the same incarnation.
func isSame(a, b *wire.Member) bool { return wire.Same(a.GetIncarnation(), b.GetIncarnation()) }
