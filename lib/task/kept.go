package task

import (
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// KeepTime is how long an ended or barred task is remembered, at least.
	KeepTime = 5 * time.Minute
	// resultBudget bounds the memory for results, in bytes. Beyond it the
	// oldest are dropped and their tasks count as failed.
	resultBudget = 8 << 20
)

// ended is a task in the order of its end.
type ended struct {
	id    ID
	entry *entry
	at    time.Time
}

// Forget drops the ended tasks of jobs whose outcome is recorded. Their names
// are kept no longer, as no start of theirs is on its way.
func (t *Table) Forget(q *wire.ForgetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, job := range q.GetJobs() {
		for _, e := range t.jobs[job] {
			t.dropResult(e, "")
		}
	}
}

// keep counts an ended task's result and drops the oldest in excess.
func (t *Table) keep(id ID, e *entry) {
	t.ended = append(t.ended, ended{id: id, entry: e, at: time.Now()})
	t.bytes += len(e.status.GetResult())
	for n := 0; t.bytes > resultBudget && n < len(t.ended); n++ {
		if len(t.ended[n].entry.status.GetResult()) > 0 {
			t.count(ReasonResultDropped)
			t.dropResult(t.ended[n].entry, ReasonResultDropped)
		}
	}
}

// dropResult forgets a result. With a reason the task counts as failed.
func (t *Table) dropResult(e *entry, reason string) {
	old := e.status
	if len(old.GetResult()) == 0 {
		return
	}
	t.bytes -= len(old.GetResult())
	e.status = &wire.TaskStatus{Job: old.GetJob(), Task: old.GetTask(), State: old.GetState(), Reason: old.GetReason()}
	if reason != "" {
		e.status.State, e.status.Reason = wire.TaskState_TASK_STATE_FAILED, reason
	}
}

// forgetOld drops tasks that ended long ago.
func (t *Table) forgetOld(now time.Time) {
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].at) > KeepTime {
		old := t.ended[n]
		if t.jobs[old.id.Job][old.id.Task] == old.entry {
			t.dropResult(old.entry, "")
			t.remove(old.id)
		}
		n++
	}
	t.ended = t.ended[n:]
}
