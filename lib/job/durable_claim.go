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
	// claimTimeout bounds one ClaimJobs call.
	claimTimeout = time.Second
	// claimLimit bounds the jobs that one claim takes over, so that they are
	// spread over the entries.
	claimLimit = 32
)

// claimer periodically takes over jobs without an owner, and learns which of
// its own jobs were cancelled or taken over by another entry.
type claimer struct{ m *DurableManager }

func (c *claimer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, claimInterval/2+rand.N(claimInterval))
		if c.m.member.Current() {
			c.claim(ctx)
		}
	}
}

func (c *claimer) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	q := c.request()
	reply, err := c.m.store.ClaimJobs(ctx, q)
	if err != nil {
		c.m.storeUnanswered("claim", len(q.GetHeld()), err)
		return
	}
	d := c.m.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !wire.Same(q.GetOwner(), c.m.owner) {
		return
	}
	for _, id := range reply.GetCancelled() {
		c.m.applyCancel(d.jobs[id])
	}
	for _, id := range reply.GetLost() {
		c.relinquishIfHeld(q, id)
	}
	for _, record := range reply.GetJobs() {
		c.m.takeOver(record)
	}
	d.place(d.clock.Now())
}

// relinquishIfHeld relinquishes a job unless it was accepted anew since the
// request was sent.
func (c *claimer) relinquishIfHeld(q *wire.ClaimJobsRequest, id string) {
	job := c.m.d.jobs[id]
	if job == nil || !job.durable.isOpen() {
		return
	}
	if slices.ContainsFunc(q.GetHeld(), func(held *wire.HeldJob) bool { return held.GetId() == id && held.GetEpoch() == job.durable.epoch }) {
		c.m.relinquish(job, reasonNotOwner)
	}
}

func (c *claimer) request() *wire.ClaimJobsRequest {
	d := c.m.d
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &wire.ClaimJobsRequest{Owner: c.m.owner, Limit: claimLimit}
	for _, job := range d.jobs {
		if job.durable.isOpen() {
			q.Held = append(q.Held, &wire.HeldJob{Id: job.ID, Epoch: job.durable.epoch})
		}
	}
	return q
}

// takeOver accepts a stored job. Its tasks start once all agents have reported
// the runs of former owners, or were given up.
func (m *DurableManager) takeOver(record *wire.JobRecord) {
	d := m.d
	id := record.GetJob().GetId()
	if d.jobs[id] != nil || m.hasEnded(id) {
		return
	}
	job := m.newActiveJob(m.fromKeptJob(record.GetJob()), record.GetEpoch(), record.GetState())
	job.durable.claimedAt = d.clock.Now()
	for _, task := range record.GetTasks() {
		job.durable.records[task.GetTask()] = task
	}
	d.logEvent(event.JobTakenOver, slog.String("job", id), slog.String("service", job.Service), slog.String("kind", job.Kind.GetName()),
		slog.Int("tasksLeft", job.tasksLeft), slog.Uint64("epoch", job.durable.epoch))
	for _, l := range d.links {
		m.requestTakeover(l, job)
	}
	d.applyRecords(job)
	d.enqueue(job)
}

// fromKeptJob returns the job as it was submitted.
func (m *DurableManager) fromKeptJob(kept *wire.KeptJob) Job {
	kind := m.member.Kind(kept.GetService(), kept.GetKind())
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

// storeUnanswered logs and counts a failed call to the store.
func (m *DurableManager) storeUnanswered(what string, notes int, err error) {
	m.d.metrics.retry("store." + what)
	m.d.logEvent(event.StoreUnanswered, slog.String("what", what), slog.Int("notes", notes), slog.Any("error", err))
}
