package job

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/store"
	"skylarklane.example/lib/wire"
)

const (
	// keepTimeout bounds the storing of a new job.
	keepTimeout = 2 * time.Second
	// leaseInterval is how often the entry's own lease is checked.
	leaseInterval = 50 * time.Millisecond
	// endedRetention is how long an ended job is remembered, so that a delayed
	// reply of the store doesn't restart it.
	endedRetention = time.Minute
	// lostEndRetention is how long the ends of a relinquished job's runs stay
	// unacknowledged.
	lostEndRetention = 15 * time.Second
)

// Membership gives the manager the facts it needs about its entry.
type Membership interface {
	// Owner returns the incarnation under which the entry is a member now.
	Owner() *wire.Incarnation
	// Current reports whether the entry's lease is valid.
	Current() bool
	// Kind returns the named kind of a service, or nil.
	Kind(service, name string) *wire.Kind
}

// DurableManager lets a dispatcher run durable jobs, whose state a store
// holds. The dispatcher's mutex guards it; calls to the store are made
// without holding it.
type DurableManager struct {
	d      *Dispatcher
	store  wire.JobStore
	member Membership
	// owner is the incarnation under which the present jobs are run.
	owner *wire.Incarnation
	// suspended is set while the entry's lease has expired.
	suspended bool
	// ended maps ended jobs to the time of their end.
	ended map[string]time.Duration
	// notes lists the jobs with state to be stored.
	notes []*workItem
	// begun lists the jobs whose start is not stored.
	begun []*workItem
	// urgent wakes the noteSender after a run has ended, last after a job has
	// ended.
	urgent chan struct{}
	last   chan struct{}
}

// NewDurableManager adds durable jobs to a dispatcher. It must be called before the
// dispatcher runs; Run serves the jobs.
func NewDurableManager(d *Dispatcher, jobs wire.JobStore, member Membership) *DurableManager {
	k := &DurableManager{d: d, store: jobs, member: member, owner: member.Owner(), ended: map[string]time.Duration{}, urgent: make(chan struct{}, 1), last: make(chan struct{}, 1)}
	d.durableJobs = k
	return k
}

// Run stores the progress of the jobs and takes over those without an owner,
// until ctx ends and no call to the store is in flight.
func (k *DurableManager) Run(ctx context.Context) {
	claims := &claimer{k}
	noteSender := &noteSender{k}
	var loops sync.WaitGroup
	loops.Go(func() { claims.loop(ctx) })
	loops.Go(func() { noteSender.loop(ctx) })
	k.loop(ctx)
	loops.Wait()
}

func (k *DurableManager) loop(ctx context.Context) {
	tick := time.NewTicker(leaseInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.check()
		}
	}
}

// check checks the entry's lease and evicts expired state.
func (k *DurableManager) check() {
	owner, current := k.member.Owner(), k.member.Current()
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	now := k.d.clock.Now()
	if !wire.Same(owner, k.owner) {
		for _, w := range k.d.jobs {
			k.relinquish(w, reasonNotOwner)
		}
		k.owner = owner
	}
	k.suspend(!current, now)
	for id, at := range k.ended {
		if now-at > endedRetention {
			delete(k.ended, id)
		}
	}
	for _, l := range k.d.links {
		for len(l.unstored) > 0 && l.unstored[0].until != 0 && now > l.unstored[0].until {
			l.unstored[0].release()
		}
	}
}

// suspend stops all runs while the entry's lease has expired, as another
// entry may take the jobs over. The jobs stay here, because the lease may be
// renewed.
func (k *DurableManager) suspend(over bool, now time.Duration) {
	if over != k.suspended {
		k.suspended = over
		k.d.logEvent(event.JobsSuspended, slog.Bool("suspended", over), slog.Int("inFlight", len(k.d.jobs)))
	}
	if !over {
		return
	}
	for _, w := range k.d.jobs {
		if !w.durable.isOpen() {
			continue
		}
		for _, t := range w.tasks {
			if t.run != nil {
				k.d.halt(t.run, reasonNoLease, now)
			}
		}
	}
}

// Keep stores a job and runs it. If the outcome is Unclear, the job may be
// stored or not; submitting it again is safe.
func (k *DurableManager) Keep(ctx context.Context, j Job) StoreOutcome {
	if !k.member.Current() {
		k.logNotStored(j, reasonNoLease, nil)
		return StoreOutcome{State: NotStored, Reason: reasonNoLease}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	q := &wire.KeepRequest{Owner: k.member.Owner(), Job: stored(j)}
	reply, err := k.store.Keep(ctx, q)
	switch {
	case store.IsNotDone(err):
		k.logNotStored(j, reasonNotStored, err)
		return StoreOutcome{State: NotStored, Reason: reasonNotStored}
	case err != nil:
		k.logNotStored(j, reasonUnclear, err)
		return StoreOutcome{State: Unclear, Reason: reasonUnclear}
	case !reply.GetStored():
		k.logNotStored(j, reply.GetReason(), nil)
		return StoreOutcome{State: NotStored, Reason: reply.GetReason()}
	}
	k.d.logEvent(event.JobKept, slog.String("job", j.ID), slog.String("service", j.Service), slog.String("kind", j.Kind.GetName()),
		slog.Uint64("epoch", reply.GetEpoch()), millis("tookMillis", time.Since(began)))
	if reply.GetEpoch() != 0 && !reply.GetKnown() {
		k.acceptNew(j, reply.GetEpoch(), q.GetOwner())
	}
	return StoreOutcome{State: Stored}
}

func (k *DurableManager) logNotStored(j Job, reason string, err error) {
	k.d.metrics.refusal(reason)
	attrs := []slog.Attr{slog.String("job", j.ID), slog.String("service", j.Service), slog.String("kind", j.Kind.GetName()), slog.String("reason", reason)}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	k.d.logEvent(event.JobNotKept, attrs...)
}

// acceptNew accepts a job that was submitted here. A job that the store knew
// already arrives by a claim.
func (k *DurableManager) acceptNew(j Job, epoch uint64, owner *wire.Incarnation) {
	d := k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !wire.Same(owner, k.owner) || d.jobs[j.ID] != nil || k.hasEnded(j.ID) {
		return
	}
	w := k.newWorkItem(j, epoch, wire.JobState_JOB_STATE_QUEUED)
	d.enqueue(w)
	d.place(d.clock.Now())
}

func (k *DurableManager) hasEnded(id string) bool {
	_, ended := k.ended[id]
	return ended
}

// newWorkItem registers a durable job with all its tasks still to be done.
func (k *DurableManager) newWorkItem(j Job, epoch uint64, state wire.JobState) *workItem {
	d := k.d
	w := newWorkItem(j, d.kindOf(j), d.clock.Now(), uint32((epoch-1)<<attemptBitsPerOwner))
	w.durable = newDurableState(epoch, state)
	d.register(w, d.clock.Now())
	return w
}

// Read returns the state of a job; known is false if there is none.
func (k *DurableManager) Read(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	reply, err := k.store.ReadJob(ctx, &wire.ReadJobRequest{Id: id})
	return reply.GetState(), reply.GetKnown(), err
}

// Waiting counts the jobs of a kind of which no task has started.
func (k *DurableManager) Waiting(ctx context.Context, service, kind string) (uint64, error) {
	reply, err := k.store.CountJobs(ctx, &wire.CountJobsRequest{Service: service, Kind: kind})
	return reply.GetWaiting(), err
}

// Cancel cancels a job; known is false if there is none.
func (k *DurableManager) Cancel(ctx context.Context, id string) (known bool, err error) {
	reply, err := k.store.CancelKept(ctx, &wire.CancelKeptRequest{Id: id})
	if err != nil {
		return false, err
	}
	if reply.GetState() == wire.JobState_JOB_STATE_CANCELLED {
		k.d.mu.Lock()
		defer k.d.mu.Unlock()
		k.applyCancel(k.d.jobs[id])
	}
	return reply.GetKnown(), nil
}

// applyCancel stops a job that the store has recorded as cancelled.
func (k *DurableManager) applyCancel(w *workItem) {
	if w == nil || !w.durable.isOpen() {
		return
	}
	w.durable.state = wire.JobState_JOB_STATE_CANCELLED
	k.close(w)
	k.d.finish(w, Outcome{State: Abandoned, Reason: reasonCancelled})
	k.d.removeIfSettled(w)
	k.d.place(k.d.clock.Now())
}

// close marks a job as ended once its final state is stored.
func (k *DurableManager) close(w *workItem) {
	w.durable.closed = true
	k.ended[w.ID] = k.d.clock.Now()
	for _, end := range w.durable.ends {
		end.release()
	}
	w.durable.ends = nil
	k.d.logEvent(event.KeptJobEnded, slog.String("job", w.ID), slog.String("service", w.Service), slog.String("state", w.durable.state.Word()),
		slog.Uint64("epoch", w.durable.epoch), millis("endedMillis", k.d.clock.Now()-w.receivedAt))
}

// relinquish stops a job that this entry no longer owns. Its ends that are
// not stored are left to the next owner.
func (k *DurableManager) relinquish(w *workItem, reason string) {
	if !w.durable.isOpen() {
		return
	}
	k.d.metrics.retry("kept." + reason)
	k.d.logEvent(event.JobLost, slog.String("job", w.ID), slog.String("reason", reason), slog.Uint64("epoch", w.durable.epoch), slog.Int("running", w.liveRuns))
	w.durable.closed = true
	for _, end := range w.durable.ends {
		end.until = k.d.clock.Now() + lostEndRetention
	}
	k.d.finish(w, Outcome{State: Abandoned, Reason: reason})
	k.d.removeIfSettled(w)
}
