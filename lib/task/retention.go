package task

import (
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// RetentionTime is the minimum time for which the record of an ended or
	// barred task is retained.
	RetentionTime = 5 * time.Minute
	// resultBudget bounds the memory for results, in bytes. When it is
	// exceeded, the oldest results are dropped and their tasks count as
	// failed.
	resultBudget = 8 << 20
)

// ended is an ended or barred task. Table.ended lists them in order of time.
type ended struct {
	id     ID
	record *record
	at     time.Time
}

// Forget drops the results of tasks of jobs whose outcome is recorded. The
// records of the tasks are retained for RetentionTime.
func (t *Table) Forget(q *wire.ForgetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, job := range q.GetJobs() {
		for _, rec := range t.jobs[job] {
			t.dropResult(rec, "")
		}
	}
}

// retain adds an ended or barred task to the list, and drops the oldest results
// while all results together exceed resultBudget.
func (t *Table) retain(id ID, rec *record) {
	t.ended = append(t.ended, ended{id: id, record: rec, at: time.Now()})
	t.resultBytes += len(rec.status.GetResult())
	for n := 0; t.resultBytes > resultBudget && n < len(t.ended); n++ {
		if len(t.ended[n].record.status.GetResult()) > 0 {
			t.countRefusal(ReasonResultDropped)
			t.dropResult(t.ended[n].record, ReasonResultDropped)
		}
	}
}

// dropResult drops a task's result. If a reason is given, the task counts as
// failed.
func (t *Table) dropResult(rec *record, reason string) {
	old := rec.status
	if len(old.GetResult()) == 0 {
		return
	}
	t.resultBytes -= len(old.GetResult())
	rec.status = &wire.TaskStatus{Job: old.GetJob(), Task: old.GetTask(), State: old.GetState(), Reason: old.GetReason()}
	if reason != "" {
		rec.status.State, rec.status.Reason = wire.TaskState_TASK_STATE_FAILED, reason
	}
}

// evictExpired removes tasks that ended more than RetentionTime ago.
func (t *Table) evictExpired(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].at) > RetentionTime {
		old := t.ended[n]
		if t.jobs[old.id.Job][old.id.Task] == old.record {
			t.dropResult(old.record, "")
			t.remove(old.id)
		}
		n++
	}
	t.ended = t.ended[n:]
}
