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
	// keepTimeout bounds the storing of a job.
	keepTimeout = 2 * time.Second
	// leaseInterval is the time between two looks at the entry's own lease.
	leaseInterval = 50 * time.Millisecond
	// endedMemory is how long a job is known to have ended here, so that an old
	// reply of the store doesn't bring it back.
	endedMemory = time.Minute
	// lostMemory is how long ends of a job that was given away are held back.
	lostMemory = 15 * time.Second
)

// Membership is what a keeper has to know of its entry.
type Membership interface {
	// Owner is the incarnation under which the entry is a member now.
	Owner() *wire.Incarnation
	// Current tells whether its lease stands.
	Current() bool
	// Kind returns the kind of a service, nil where none has the name.
	Kind(service, name string) *wire.Kind
}

// Keeper has a desk run jobs that a store keeps. What it knows is guarded by the
// desk's mutex; calls to the store are made outside of it.
type Keeper struct {
	d      *Desk
	store  wire.JobStore
	member Membership
	// owner under which the jobs in hand are run.
	owner *wire.Incarnation
	// suspended is set while the entry's lease is over.
	suspended bool
	// ended jobs and when they ended.
	ended map[string]time.Duration
	// notes lists the jobs of which something is to be stored.
	notes []*work
	// begun lists the jobs whose start is not stored.
	begun []*work
	// urgent wakes the noter for an end, last for the end of a job.
	urgent chan struct{}
	last   chan struct{}
}

// NewKeeper makes the desk take kept jobs, which Run then runs. It is called
// before the desk runs.
func NewKeeper(d *Desk, jobs wire.JobStore, member Membership) *Keeper {
	k := &Keeper{d: d, store: jobs, member: member, owner: member.Owner(), ended: map[string]time.Duration{}, urgent: make(chan struct{}, 1), last: make(chan struct{}, 1)}
	d.keeper = k
	return k
}

// Run notes what becomes of the jobs and takes over those without an owner,
// until ctx ends and no call to the store is left.
func (k *Keeper) Run(ctx context.Context) {
	claims := &claimer{k}
	noter := &noter{k}
	var loops sync.WaitGroup
	loops.Go(func() { claims.loop(ctx) })
	loops.Go(func() { noter.loop(ctx) })
	k.loop(ctx)
	loops.Wait()
}

// loop looks at the entry's lease.
func (k *Keeper) loop(ctx context.Context) {
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

// check looks at the lease and forgets what is old.
func (k *Keeper) check() {
	owner, current := k.member.Owner(), k.member.Current()
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	now := k.d.clock.Now()
	if !wire.Same(owner, k.owner) {
		for _, w := range k.d.jobs {
			k.lose(w, reasonNotOwner)
		}
		k.owner = owner
	}
	k.suspend(!current, now)
	for id, at := range k.ended {
		if now-at > endedMemory {
			delete(k.ended, id)
		}
	}
	for _, l := range k.d.links {
		for len(l.unstored) > 0 && l.unstored[0].until != 0 && now > l.unstored[0].until {
			l.unstored[0].letGo()
		}
	}
}

// suspend stops all runs while the entry's lease is over, as another entry may
// take the jobs over. They stay in hand: the lease may come back.
func (k *Keeper) suspend(over bool, now time.Duration) {
	if over != k.suspended {
		k.suspended = over
		k.d.note(event.JobsSuspended, slog.Bool("suspended", over), slog.Int("inFlight", len(k.d.jobs)))
	}
	if !over {
		return
	}
	for _, w := range k.d.jobs {
		if !w.kept.isOpen() {
			continue
		}
		for _, t := range w.tasks {
			if t.run != nil {
				k.d.halt(t.run, reasonNoLease, now)
			}
		}
	}
}

// Keep stores a job and has it run. A job whose outcome is unclear may be
// stored or not; sending it again is safe.
func (k *Keeper) Keep(ctx context.Context, j Job) KeepOutcome {
	if !k.member.Current() {
		k.noteNotKept(j, reasonNoLease, nil)
		return KeepOutcome{State: NotKept, Reason: reasonNoLease}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancel()
	q := &wire.KeepRequest{Owner: k.member.Owner(), Job: stored(j)}
	reply, err := k.store.Keep(ctx, q)
	switch {
	case store.IsNotDone(err):
		k.noteNotKept(j, reasonNotStored, err)
		return KeepOutcome{State: NotKept, Reason: reasonNotStored}
	case err != nil:
		k.noteNotKept(j, reasonUnclear, err)
		return KeepOutcome{State: Unclear, Reason: reasonUnclear}
	case !reply.GetStored():
		k.noteNotKept(j, reply.GetReason(), nil)
		return KeepOutcome{State: NotKept, Reason: reply.GetReason()}
	}
	k.d.note(event.JobKept, slog.String("job", j.ID), slog.String("service", j.Service), slog.String("kind", j.Kind.GetName()),
		slog.Uint64("epoch", reply.GetEpoch()), millis("tookMillis", time.Since(began)))
	if reply.GetEpoch() != 0 && !reply.GetKnown() {
		k.takeNew(j, reply.GetEpoch(), q.GetOwner())
	}
	return KeepOutcome{State: IsKept}
}

func (k *Keeper) noteNotKept(j Job, reason string, err error) {
	k.d.metrics.refusal(reason)
	attrs := []slog.Attr{slog.String("job", j.ID), slog.String("service", j.Service), slog.String("kind", j.Kind.GetName()), slog.String("reason", reason)}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	k.d.note(event.JobNotKept, attrs...)
}

// takeNew takes a job in hand that was handed in here. One that is known to the
// store comes by a claim.
func (k *Keeper) takeNew(j Job, epoch uint64, owner *wire.Incarnation) {
	d := k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if !wire.Same(owner, k.owner) || d.jobs[j.ID] != nil || k.hasEnded(j.ID) {
		return
	}
	w := k.newWork(j, epoch, wire.JobState_JOB_STATE_QUEUED)
	d.enqueue(w)
	d.place(d.clock.Now())
}

func (k *Keeper) hasEnded(id string) bool {
	_, ended := k.ended[id]
	return ended
}

// newWork takes a job in hand, with all its tasks still to be done.
func (k *Keeper) newWork(j Job, epoch uint64, state wire.JobState) *work {
	d := k.d
	w := newWork(j, d.kindOf(j), d.clock.Now(), uint32((epoch-1)<<attemptsPerOwner))
	w.kept = newKept(epoch, state)
	d.reckon(w, d.clock.Now())
	return w
}

// Read returns the state of a job; known is unset where there is none.
func (k *Keeper) Read(ctx context.Context, id string) (state wire.JobState, known bool, err error) {
	reply, err := k.store.ReadJob(ctx, &wire.ReadJobRequest{Id: id})
	return reply.GetState(), reply.GetKnown(), err
}

// Waiting counts the jobs of a kind of which no task has started.
func (k *Keeper) Waiting(ctx context.Context, service, kind string) (uint64, error) {
	reply, err := k.store.CountJobs(ctx, &wire.CountJobsRequest{Service: service, Kind: kind})
	return reply.GetWaiting(), err
}

// Cancel cancels a job; known is unset where there is none.
func (k *Keeper) Cancel(ctx context.Context, id string) (known bool, err error) {
	reply, err := k.store.CancelKept(ctx, &wire.CancelKeptRequest{Id: id})
	if err != nil {
		return false, err
	}
	if reply.GetState() == wire.JobState_JOB_STATE_CANCELLED {
		k.d.mu.Lock()
		defer k.d.mu.Unlock()
		k.cancelled(k.d.jobs[id])
	}
	return reply.GetKnown(), nil
}

// cancelled stops a job that the store has as cancelled.
func (k *Keeper) cancelled(w *work) {
	if w == nil || !w.kept.isOpen() {
		return
	}
	w.kept.state = wire.JobState_JOB_STATE_CANCELLED
	k.close(w)
	k.d.finish(w, Outcome{State: Abandoned, Reason: reasonCancelled})
	k.d.release(w)
	k.d.place(k.d.clock.Now())
}

// close takes a job whose last state is stored as over.
func (k *Keeper) close(w *work) {
	w.kept.closed = true
	k.ended[w.ID] = k.d.clock.Now()
	for _, end := range w.kept.ends {
		end.letGo()
	}
	w.kept.ends = nil
	k.d.note(event.KeptJobEnded, slog.String("job", w.ID), slog.String("service", w.Service), slog.String("state", w.kept.state.Word()),
		slog.Uint64("epoch", w.kept.epoch), millis("endedMillis", k.d.clock.Now()-w.receivedAt))
}

// lose stops a job that is not this entry's any more. Its ends that are not
// stored are left to the next owner.
func (k *Keeper) lose(w *work, reason string) {
	if !w.kept.isOpen() {
		return
	}
	k.d.metrics.retry("kept." + reason)
	k.d.note(event.JobLost, slog.String("job", w.ID), slog.String("reason", reason), slog.Uint64("epoch", w.kept.epoch), slog.Int("running", w.live))
	w.kept.closed = true
	for _, end := range w.kept.ends {
		end.until = k.d.clock.Now() + lostMemory
	}
	k.d.finish(w, Outcome{State: Abandoned, Reason: reason})
	k.d.release(w)
}
