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
	// storeTimeout bounds the call that stores a new job.
	storeTimeout = 2 * time.Second
	// leaseCheckInterval is how often the entry's own lease is checked.
	leaseCheckInterval = 50 * time.Millisecond
	// endedRetention is how long an ended job is remembered, so that a delayed
	// reply of the store doesn't restart it.
	endedRetention = time.Minute
	// relinquishedEndRetention is how long the ends of a relinquished job's
	// runs stay unacknowledged, so that its next owner can get them from the
	// agents.
	relinquishedEndRetention = 15 * time.Second
)

// Membership provides the entry's identity, lease state and configuration.
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
	// suspended is set while the entry's lease is expired.
	suspended bool
	// ended maps ended jobs to the time of their end.
	ended map[string]time.Duration
	// storeQueue lists the jobs with state to be stored.
	storeQueue []*activeJob
	// unstoredStarts lists the jobs whose start is not stored.
	unstoredStarts []*activeJob
	// runEnded wakes the noteSender after a run has ended, jobEnded after a job
	// has ended.
	runEnded chan struct{}
	jobEnded chan struct{}
}

// NewDurableManager makes a dispatcher accept durable jobs. It must be called
// before the dispatcher runs. Run stores the progress of the jobs.
func NewDurableManager(d *Dispatcher, jobs wire.JobStore, member Membership) *DurableManager {
	m := &DurableManager{d: d, store: jobs, member: member, owner: member.Owner(), ended: map[string]time.Duration{}, runEnded: make(chan struct{}, 1), jobEnded: make(chan struct{}, 1)}
	d.durableJobs = m
	return m
}

// Run stores the progress of the jobs and takes over those without an owner,
// until ctx ends and no call to the store is in flight.
func (m *DurableManager) Run(ctx context.Context) {
	claims := &claimer{m}
	noteSender := &noteSender{m}
	var loops sync.WaitGroup
	loops.Go(func() { claims.loop(ctx) })
	loops.Go(func() { noteSender.loop(ctx) })
	m.loop(ctx)
	loops.Wait()
}

func (m *DurableManager) loop(ctx context.Context) {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.checkLease()
		}
	}
}

// checkLease checks the entry's incarnation and lease. It also forgets jobs
// that ended longer ago than endedRetention, and releases expired ends.
func (m *DurableManager) checkLease() {
	owner, current := m.member.Owner(), m.member.Current()
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	now := m.d.clock.Now()
	if !wire.Same(owner, m.owner) {
		for _, job := range m.d.jobs {
			m.relinquish(job, reasonNotOwner)
		}
		m.owner = owner
	}
	m.suspend(!current, now)
	for id, at := range m.ended {
		if now-at > endedRetention {
			delete(m.ended, id)
		}
	}
	for _, l := range m.d.links {
		for len(l.unstored) > 0 && l.unstored[0].releaseAt != 0 && now > l.unstored[0].releaseAt {
			l.unstored[0].release()
		}
	}
}

// suspend stops the runs of all durable jobs while the entry's lease is
// expired, as another entry may take the jobs over. The jobs stay here,
// because the lease may be renewed.
func (m *DurableManager) suspend(expired bool, now time.Duration) {
	if expired != m.suspended {
		m.suspended = expired
		m.d.logEvent(event.JobsSuspended, slog.Bool("suspended", expired), slog.Int("inFlight", len(m.d.jobs)))
	}
	if !expired {
		return
	}
	for _, job := range m.d.jobs {
		if !job.durable.isOpen() {
			continue
		}
		for _, t := range job.tasks {
			if t.run != nil {
				m.d.halt(t.run, reasonLeaseExpired, now)
			}
		}
	}
}

// Keep stores a job and starts to run it, without waiting for its end. If the
// outcome is Unclear, the job may be stored or not; submitting it again is
// safe.
func (m *DurableManager) Keep(ctx context.Context, j Job) StoreOutcome {
	if !m.member.Current() {
		m.logNotStored(j, reasonLeaseExpired, nil)
		return StoreOutcome{State: NotStored, Reason: reasonLeaseExpired}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	q := &wire.KeepRequest{Owner: m.member.Owner(), Job: toKeptJob(j)}
	reply, err := m.store.Keep(ctx, q)
	switch {
	case store.IsNotDone(err):
		m.logNotStored(j, reasonNotStored, err)
		return StoreOutcome{State: NotStored, Reason: reasonNotStored}
	case err != nil:
		m.logNotStored(j, reasonUnclear, err)
		return StoreOutcome{State: Unclear, Reason: reasonUnclear}
	case !reply.GetStored():
		m.logNotStored(j, reply.GetReason(), nil)
		return StoreOutcome{State: NotStored, Reason: reply.GetReason()}
	}
	m.d.logEvent(event.JobKept, slog.String("job", j.ID), slog.String("service", j.Service), slog.String("kind", j.Kind.GetName()),
		slog.Uint64("epoch", reply.GetEpoch()), millis("tookMillis", time.Since(began)))
	if reply.GetEpoch() != 0 && !reply.GetKnown() {
		m.acceptNew(j, reply.GetEpoch(), q.GetOwner())
	}
	return StoreOutcome{State: Stored}
}

func (m *DurableManager) logNotStored(j Job, reason string, err error) {
	m.d.metrics.refusal(reason)
	attrs := []slog.Attr{slog.String("job", j.ID), slog.String("service", j.Service), slog.String("kind", j.Kind.GetName()), slog.String("reason", reason)}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	m.d.logEvent(event.JobNotKept, attrs...)
}

// acceptNew accepts a job that was submitted to this entry and newly stored. A
// job that was already stored is accepted after a claim instead.
func (m *DurableManager) acceptNew(j Job, epoch uint64, owner *wire.Incarnation) {
	d := m.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !wire.Same(owner, m.owner) || d.jobs[j.ID] != nil || m.hasEnded(j.ID) {
		return
	}
	job := m.newActiveJob(j, epoch, wire.JobState_JOB_STATE_QUEUED)
	d.enqueue(job)
	d.place(d.clock.Now())
}

func (m *DurableManager) hasEnded(id string) bool {
	_, ended := m.ended[id]
	return ended
}

// newActiveJob registers a durable job as if none of its tasks were completed.
// The caller applies the stored progress.
func (m *DurableManager) newActiveJob(j Job, epoch uint64, state wire.JobState) *activeJob {
	d := m.d
	job := newActiveJob(j, d.kindStatsOf(j), d.clock.Now(), uint32((epoch-1)<<attemptBitsPerOwner))
	job.durable = newDurableState(epoch, state)
	d.register(job, d.clock.Now())
	return job
}

// Read returns the state of a job; known is false if there is none.
func (m *DurableManager) Read(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	reply, err := m.store.ReadJob(ctx, &wire.ReadJobRequest{Id: id})
	return reply.GetState(), reply.GetKnown(), err
}

// CountWaiting returns the number of stored jobs of a kind of which no task has
// started.
func (m *DurableManager) CountWaiting(ctx context.Context, service, kind string) (uint64, error) {
	reply, err := m.store.CountJobs(ctx, &wire.CountJobsRequest{Service: service, Kind: kind})
	return reply.GetWaiting(), err
}

// Cancel cancels a job; known is false if there is none.
func (m *DurableManager) Cancel(ctx context.Context, id string) (known bool, err error) {
	reply, err := m.store.CancelKept(ctx, &wire.CancelKeptRequest{Id: id})
	if err != nil {
		return false, err
	}
	if reply.GetState() == wire.JobState_JOB_STATE_CANCELLED {
		m.d.mu.Lock()
		defer m.d.mu.Unlock()
		m.applyCancel(m.d.jobs[id])
	}
	return reply.GetKnown(), nil
}

// applyCancel stops a job that the store has recorded as cancelled.
func (m *DurableManager) applyCancel(job *activeJob) {
	if job == nil || !job.durable.isOpen() {
		return
	}
	job.durable.state = wire.JobState_JOB_STATE_CANCELLED
	m.close(job)
	m.d.finish(job, Outcome{State: Abandoned, Reason: reasonCancelled})
	m.d.removeIfSettled(job)
	m.d.place(m.d.clock.Now())
}

// close marks a job as ended, once its final state is stored, and releases its
// ends.
func (m *DurableManager) close(job *activeJob) {
	job.durable.closed = true
	m.ended[job.ID] = m.d.clock.Now()
	for _, end := range job.durable.ends {
		end.release()
	}
	job.durable.ends = nil
	m.d.logEvent(event.KeptJobEnded, slog.String("job", job.ID), slog.String("service", job.Service), slog.String("state", job.durable.state.Word()),
		slog.Uint64("epoch", job.durable.epoch), millis("endedMillis", m.d.clock.Now()-job.receivedAt))
}

// relinquish stops a job that this entry no longer owns. Its ends that are not
// stored stay unacknowledged for a while, for the next owner.
func (m *DurableManager) relinquish(job *activeJob, reason string) {
	if !job.durable.isOpen() {
		return
	}
	m.d.metrics.retry("kept." + reason)
	m.d.logEvent(event.JobLost, slog.String("job", job.ID), slog.String("reason", reason), slog.Uint64("epoch", job.durable.epoch), slog.Int("running", job.liveRuns))
	job.durable.closed = true
	for _, end := range job.durable.ends {
		end.releaseAt = m.d.clock.Now() + relinquishedEndRetention
	}
	m.d.finish(job, Outcome{State: Abandoned, Reason: reason})
	m.d.removeIfSettled(job)
}
