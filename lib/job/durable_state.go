package job

import (
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/wire"
)

// attemptBitsPerOwner is the binary logarithm of how many attempt numbers of a
// task each owner of its job has.
const attemptBitsPerOwner = 12

// durableState is the additional state of a durable job.
type durableState struct {
	// epoch is the one under which this entry runs the job.
	epoch uint64
	// asking holds the agents that have yet to report runs of former owners;
	// unasked counts those that never did.
	asking    map[*link]bool
	unasked   int
	claimedAt time.Duration
	// records holds the tasks' records to be stored, by task name.
	records map[string]*wire.TaskRecord
	// dirty names the records that have changed since the last note.
	dirty map[string]bool
	// ends holds the ends that the next note stores.
	ends []*unstoredEnd
	// state is the one to be stored; changed is set while the job is listed
	// for the next note.
	state   wire.JobState
	changed bool
	// closed is set once nothing more is to be stored.
	closed bool
}

// unstoredEnd is an end of a durable job's run that was processed but is not
// stored.
type unstoredEnd struct {
	link   *link
	number uint64
	// until is when the end of a relinquished job is released; 0 for an end
	// that this entry stores.
	until time.Duration
}

// mayStart reports whether tasks of the job may be started.
func (k *durableState) mayStart(of *DurableManager) bool {
	return k == nil || len(k.asking) == 0 && !k.closed && !of.suspended
}

// ownerEpoch returns the epoch that launches carry; 0 for a best-effort job.
func (k *durableState) ownerEpoch() uint64 {
	if k == nil {
		return 0
	}
	return k.epoch
}

// isOpen reports whether something of the job is still to be stored.
func (k *durableState) isOpen() bool { return k != nil && !k.closed }

// record returns the record of a task, creating it if needed.
func (k *durableState) record(name string) *wire.TaskRecord {
	if k.records[name] == nil {
		k.records[name] = &wire.TaskRecord{Task: name}
	}
	return k.records[name]
}

// applyEnd applies the end of a run to its task's record, and reports whether
// it is new.
func (k *durableState) applyEnd(end *wire.RunEnd) bool {
	name, attempt := end.GetRun().GetTask(), end.GetRun().GetAttempt()
	rec := k.record(name)
	fresh := attempt > rec.GetAttempt()
	switch {
	case end.GetHow() == wire.RunHow_RUN_HOW_DONE:
		fresh = !rec.GetDone()
		rec.Done = true
	case fresh:
		rec.Failed++
	}
	rec.Attempt = max(rec.GetAttempt(), attempt)
	k.dirty[name] = true
	return fresh
}

// jobOf returns the job id of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// newDurableState returns the state of a job that is accepted under an epoch.
func newDurableState(epoch uint64, state wire.JobState) *durableState {
	return &durableState{
		epoch:   epoch,
		asking:  map[*link]bool{},
		records: map[string]*wire.TaskRecord{},
		dirty:   map[string]bool{},
		state:   max(state, wire.JobState_JOB_STATE_QUEUED),
	}
}

// apply applies the task records to the job.
func (d *Dispatcher) apply(w *workItem) {
	for i := 0; i < len(w.tasks) && !w.answered; i++ {
		t := w.tasks[i]
		rec := w.durable.records[t.name]
		t.failed = max(t.failed, rec.GetFailed())
		if rec.GetDone() && !t.done {
			t.done = true
			w.pending = slices.DeleteFunc(w.pending, func(one *task) bool { return one == t })
			w.completed(t.step)
		}
		if t.done && t.run != nil {
			d.halt(t.run, reasonSibling, d.clock.Now())
		}
		if !t.done && t.failed >= max(w.Kind.GetMaxAttempts(), 1) {
			d.finish(w, Outcome{State: Failed, Reason: reasonAttempts})
		}
	}
	if w.tasksLeft == 0 {
		d.finish(w, Outcome{State: Complete})
	}
}

// endsStored returns the newest end such that it and all before it are
// stored, if they have to be.
func (l *link) endsStored() uint64 {
	if len(l.unstored) == 0 {
		return l.endsSeen
	}
	return l.unstored[0].number - 1
}

// release allows the end to be acknowledged: it is stored, or need not be
// stored by this entry.
func (e *unstoredEnd) release() {
	e.link.unstored = slices.DeleteFunc(e.link.unstored, func(one *unstoredEnd) bool { return one == e })
}

// queuedBestEffort counts the best-effort jobs in the queue.
func (d *Dispatcher) queuedBestEffort() int {
	if d.durableJobs == nil {
		return len(d.queue)
	}
	n := 0
	for _, w := range d.queue {
		if w.durable == nil {
			n++
		}
	}
	return n
}
