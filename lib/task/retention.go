package task

import (
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// RetentionTime is the minimum time for which an ended or barred task is
	// remembered.
	RetentionTime = 5 * time.Minute
	// resultBudget bounds the memory for results, in bytes. When it is
	// exceeded, the oldest results are dropped and their tasks count as
	// failed.
	resultBudget = 8 << 20
)

// ended is an ended task, in a list sorted by time.
type ended struct {
	id    ID
	entry *entry
	at    time.Time
}

// Forget drops the results of tasks of jobs whose outcome is recorded. The
// tasks themselves stay known for KeepTime.
func (t *Table) Forget(q *wire.ForgetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, job := range q.GetJobs() {
		for _, e := range t.jobs[job] {
			t.dropResult(e, "")
		}
	}
}

// retain adds an ended task and drops the oldest results beyond resultBudget.
func (t *Table) retain(id ID, e *entry) {
	t.ended = append(t.ended, ended{id: id, entry: e, at: time.Now()})
	t.resultBytes += len(e.status.GetResult())
	for n := 0; t.resultBytes > resultBudget && n < len(t.ended); n++ {
		if len(t.ended[n].entry.status.GetResult()) > 0 {
			t.count(ReasonResultDropped)
			t.dropResult(t.ended[n].entry, ReasonResultDropped)
		}
	}
}

// dropResult drops a task's result. If a reason is given, the task counts as
// failed.
func (t *Table) dropResult(e *entry, reason string) {
	old := e.status
	if len(old.GetResult()) == 0 {
		return
	}
	t.resultBytes -= len(old.GetResult())
	e.status = &wire.TaskStatus{Job: old.GetJob(), Task: old.GetTask(), State: old.GetState(), Reason: old.GetReason()}
	if reason != "" {
		e.status.State, e.status.Reason = wire.TaskState_TASK_STATE_FAILED, reason
	}
}

// evictExpired removes tasks that ended more than KeepTime ago.
func (t *Table) evictExpired(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].at) > RetentionTime {
		old := t.ended[n]
		if t.jobs[old.id.Job][old.id.Task] == old.entry {
			t.dropResult(old.entry, "")
			t.remove(old.id)
		}
		n++
	}
	t.ended = t.ended[n:]
}
