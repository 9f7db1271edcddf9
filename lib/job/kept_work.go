package job

import (
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/wire"
)

// attemptsPerOwner is how many attempts of a task each owner of its job may
// number, as a power of two.
const attemptsPerOwner = 12

// keptWork is what a desk knows of a kept job besides its work.
type keptWork struct {
	// epoch under which this entry runs the job.
	epoch uint64
	// asking are the agents that may have runs of former owners.
	asking    map[*link]bool
	unasked   int
	claimedAt time.Duration
	// records of the tasks of which something is to be stored, by name.
	records map[string]*wire.TaskRecord
	// dirty names the records that have changed since the last note.
	dirty map[string]bool
	// ends that the next note stores.
	ends []*keptEnd
	// state to be stored, and whether it has changed.
	state   wire.JobState
	changed bool
	// closed is set once nothing more is to be stored.
	closed bool
}

// keptEnd is the end of a kept run that is taken in and not stored.
type keptEnd struct {
	link   *link
	number uint64
	// until is when the end of a job that was given away is let go; 0 for one
	// that this entry stores.
	until time.Duration
}

// mayStart tells whether tasks of the job may be started.
func (k *keptWork) mayStart(of *Keeper) bool {
	return k == nil || len(k.asking) == 0 && !k.closed && !of.suspended
}

// ownerEpoch is the epoch that launches carry.
func (k *keptWork) ownerEpoch() uint64 {
	if k == nil {
		return 0
	}
	return k.epoch
}

// isOpen tells whether something of the job is still to be stored.
func (k *keptWork) isOpen() bool { return k != nil && !k.closed }

// record returns what is known of a task.
func (k *keptWork) record(name string) *wire.TaskRecord {
	if k.records[name] == nil {
		k.records[name] = &wire.TaskRecord{Task: name}
	}
	return k.records[name]
}

// take takes in the end of a run, and tells whether it is new.
func (k *keptWork) take(end *wire.RunEnd) bool {
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

// jobOf is the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// newKept returns a job in hand under an epoch.
func newKept(epoch uint64, state wire.JobState) *keptWork {
	return &keptWork{
		epoch:   epoch,
		asking:  map[*link]bool{},
		records: map[string]*wire.TaskRecord{},
		dirty:   map[string]bool{},
		state:   max(state, wire.JobState_JOB_STATE_QUEUED),
	}
}

// apply takes into the job what its records say.
func (d *Desk) apply(w *work) {
	for i := 0; i < len(w.tasks) && !w.answered; i++ {
		t := w.tasks[i]
		rec := w.kept.records[t.name]
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

// endsStored is the newest end such that it and all before it are stored where
// they have to be.
func (l *link) endsStored() uint64 {
	if len(l.unstored) == 0 {
		return l.endsSeen
	}
	return l.unstored[0].number - 1
}

// letGo takes an end as stored, or as none that this entry stores.
func (e *keptEnd) letGo() {
	e.link.unstored = slices.DeleteFunc(e.link.unstored, func(one *keptEnd) bool { return one == e })
}

// queuedBestEffort counts the best-effort jobs in the queue.
func (d *Desk) queuedBestEffort() int {
	if d.keeper == nil {
		return len(d.queue)
	}
	n := 0
	for _, w := range d.queue {
		if w.kept == nil {
			n++
		}
	}
	return n
}
