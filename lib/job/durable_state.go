package job

import (
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/wire"
)

// attemptBitsPerOwner is the binary logarithm of how many attempt numbers of a
// task each owner of a durable job may use. No number belongs to two owners.
const attemptBitsPerOwner = 12

// durableState is the additional state of a durable job.
type durableState struct {
	// epoch is the number of the ownership under which this entry runs the
	// job; it grows with each new owner.
	epoch uint64
	// awaited holds the agents that have yet to report runs of former owners;
	// givenUp counts those that were given up.
	awaited   map[*link]bool
	givenUp   int
	claimedAt time.Duration
	// records holds the tasks' records to be stored, by task name.
	records map[string]*wire.TaskRecord
	// dirty names the records that have changed since they were last sent to
	// the store.
	dirty map[string]bool
	// ends holds the ends that are stored with the next batch.
	ends []*unstoredEnd
	// state is the job's state to be stored; scheduled is set while the job is
	// listed for the next batch.
	state     wire.JobState
	scheduled bool
	// closed is set once this entry stores nothing more of the job: it has
	// ended, or was relinquished.
	closed bool
}

// unstoredEnd is an end of a durable job's run that was processed but is not
// stored. It is not acknowledged to the agent until it is released.
type unstoredEnd struct {
	link   *link
	number uint64
	// releaseAt is when the end of a relinquished job is released; 0 for an
	// end that this entry stores.
	releaseAt time.Duration
}

// mayStart reports whether tasks of the job may be started.
func (s *durableState) mayStart(m *DurableManager) bool {
	return s == nil || len(s.awaited) == 0 && !s.closed && !m.suspended
}

// ownerEpoch returns the epoch that launches carry; 0 for a best-effort job.
func (s *durableState) ownerEpoch() uint64 {
	if s == nil {
		return 0
	}
	return s.epoch
}

// isOpen reports whether the job is durable and this entry still stores its
// progress.
func (s *durableState) isOpen() bool { return s != nil && !s.closed }

// record returns the record of a task, creating it if needed.
func (s *durableState) record(name string) *wire.TaskRecord {
	if s.records[name] == nil {
		s.records[name] = &wire.TaskRecord{Task: name}
	}
	return s.records[name]
}

// applyEnd applies the end of a run to its task's record, and reports whether
// the record did not include it yet.
func (s *durableState) applyEnd(end *wire.RunEnd) bool {
	name, attempt := end.GetRun().GetTask(), end.GetRun().GetAttempt()
	rec := s.record(name)
	fresh := attempt > rec.GetAttempt()
	switch {
	case end.GetHow() == wire.RunHow_RUN_HOW_DONE:
		fresh = !rec.GetDone()
		rec.Done = true
	case fresh:
		rec.Failed++
	}
	rec.Attempt = max(rec.GetAttempt(), attempt)
	s.dirty[name] = true
	return fresh
}

// jobID returns the ID of the job that a task belongs to, given the task's
// name.
func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// newDurableState returns the state of a job that this entry owns under the
// given epoch.
func newDurableState(epoch uint64, state wire.JobState) *durableState {
	return &durableState{
		epoch:   epoch,
		awaited: map[*link]bool{},
		records: map[string]*wire.TaskRecord{},
		dirty:   map[string]bool{},
		state:   max(state, wire.JobState_JOB_STATE_QUEUED),
	}
}

// applyRecords applies the task records of a durable job to its tasks, which
// may end the job.
func (d *Dispatcher) applyRecords(job *activeJob) {
	for i := 0; i < len(job.tasks) && !job.answered; i++ {
		t := job.tasks[i]
		rec := job.durable.records[t.name]
		t.failures = max(t.failures, rec.GetFailed())
		if rec.GetDone() && !t.done {
			t.done = true
			job.pending = slices.DeleteFunc(job.pending, func(one *task) bool { return one == t })
			job.taskCompleted(t.step)
		}
		if t.done && t.run != nil {
			d.halt(t.run, reasonJobEnded, d.clock.Now())
		}
		if !t.done && t.failures >= max(job.Kind.GetMaxAttempts(), 1) {
			d.finish(job, Outcome{State: Failed, Reason: reasonAttemptsUsedUp})
		}
	}
	if job.tasksLeft == 0 {
		d.finish(job, Outcome{State: Complete})
	}
}

// endsStored returns the number of the newest end that may be acknowledged: it
// and all before it are stored, or need not be.
func (l *link) endsStored() uint64 {
	if len(l.unstored) == 0 {
		return l.endsSeen
	}
	return l.unstored[0].number - 1
}

// release allows the end to be acknowledged, as it is stored or need not be
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
	for _, job := range d.queue {
		if job.durable == nil {
			n++
		}
	}
	return n
}
