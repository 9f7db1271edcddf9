package job

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// claimInterval is the mean time between two claims.
	claimInterval = 800 * time.Millisecond
	claimTimeout  = time.Second
	// claimLimit bounds the jobs that one claim takes over, so that they are
	// spread over the entries.
	claimLimit = 32
)

// claimer periodically takes over jobs without an owner, and learns which of
// its own jobs were cancelled or taken over by another entry.
type claimer struct{ k *DurableManager }

func (c *claimer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, claimInterval/2+rand.N(claimInterval))
		if c.k.member.Current() {
			c.claim(ctx)
		}
	}
}

func (c *claimer) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	q := c.request()
	reply, err := c.k.store.ClaimJobs(ctx, q)
	if err != nil {
		c.k.unanswered("claim", len(q.GetHeld()), err)
		return
	}
	d := c.k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !wire.Same(q.GetOwner(), c.k.owner) {
		return
	}
	for _, id := range reply.GetCancelled() {
		c.k.applyCancel(d.jobs[id])
	}
	for _, id := range reply.GetLost() {
		c.relinquishIfHeld(q, id)
	}
	for _, record := range reply.GetJobs() {
		c.k.takeOver(record)
	}
	d.place(d.clock.Now())
}

// relinquishIfHeld relinquishes a job unless it was accepted anew since the
// request was sent.
func (c *claimer) relinquishIfHeld(q *wire.ClaimJobsRequest, id string) {
	w := c.k.d.jobs[id]
	if w == nil || !w.durable.isOpen() {
		return
	}
	if slices.ContainsFunc(q.GetHeld(), func(held *wire.HeldJob) bool { return held.GetId() == id && held.GetEpoch() == w.durable.epoch }) {
		c.k.relinquish(w, reasonNotOwner)
	}
}

func (c *claimer) request() *wire.ClaimJobsRequest {
	d := c.k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &wire.ClaimJobsRequest{Owner: c.k.owner, Limit: claimLimit}
	for _, w := range d.jobs {
		if w.durable.isOpen() {
			q.Held = append(q.Held, &wire.HeldJob{Id: w.ID, Epoch: w.durable.epoch})
		}
	}
	return q
}

// takeOver accepts a stored job. Its tasks start once the agents have been
// asked for runs of former owners.
func (k *DurableManager) takeOver(record *wire.JobRecord) {
	d := k.d
	id := record.GetJob().GetId()
	if d.jobs[id] != nil || k.hasEnded(id) {
		return
	}
	w := k.newWorkItem(k.jobFromRecord(record.GetJob()), record.GetEpoch(), record.GetState())
	w.durable.claimedAt = d.clock.Now()
	for _, task := range record.GetTasks() {
		w.durable.records[task.GetTask()] = task
	}
	d.logEvent(event.JobTakenOver, slog.String("job", id), slog.String("service", w.Service), slog.String("kind", w.Kind.GetName()),
		slog.Int("tasksLeft", w.tasksLeft), slog.Uint64("epoch", w.durable.epoch))
	for _, l := range d.links {
		k.requestTakeover(l, w)
	}
	d.apply(w)
	d.enqueue(w)
}

// jobFromRecord returns the job as it was submitted.
func (k *DurableManager) jobFromRecord(kept *wire.KeptJob) Job {
	kind := k.member.Kind(kept.GetService(), kept.GetKind())
	if kind == nil {
		kind = &wire.Kind{Name: kept.GetKind()}
	}
	j := Job{
		ID:       kept.GetId(),
		Service:  kept.GetService(),
		Kind:     kind,
		Spec:     kept.GetSpec(),
		Received: time.UnixMilli(kept.GetAcceptedAtMillis()),
	}
	for _, s := range kept.GetSteps() {
		step := Step{
			Count:        s.GetCount(),
			Need:         s.GetNeed(),
			Estimate:     time.Duration(s.GetEstimateMillis()) * time.Millisecond,
			Label:        s.GetLabel(),
			Rack:         s.GetRack(),
			MaxPerWorker: s.GetMaxPerWorker(),
		}
		for _, before := range s.GetAfter() {
			step.After = append(step.After, int(before))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// unanswered logs and counts a failed call to the store.
func (k *DurableManager) unanswered(what string, notes int, err error) {
	k.d.metrics.retry("store." + what)
	k.d.logEvent(event.StoreUnanswered, slog.String("what", what), slog.Int("notes", notes), slog.Any("error", err))
}
