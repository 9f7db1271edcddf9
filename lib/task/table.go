// Package task keeps what became of each task at one agent, so that none
// starts twice there.
package task

import (
	"sync"

	"skylarklane.example/lib/wire"
)

// ID names one task of one job.
type ID struct {
	Job  string
	Task uint32
}

// Table holds the tasks that an agent has started.
type Table struct {
	self *wire.Incarnation

	mu    sync.Mutex
	tasks map[ID]*wire.TaskStatus
}

// New returns an empty table for the agent incarnation self.
func New(self *wire.Incarnation) *Table {
	return &Table{self: self, tasks: map[ID]*wire.TaskStatus{}}
}

// Begin marks a task as started. It returns a reply where the task must not
// start; the caller then passes that on.
func (t *Table) Begin(q *wire.StartRequest) *wire.StartReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := ID{Job: q.GetJob(), Task: q.GetTask()}
	if old := t.tasks[id]; old != nil {
		return &wire.StartReply{State: old.GetState(), Reason: "alreadyStarted", Result: old.GetResult()}
	}
	t.tasks[id] = &wire.TaskStatus{Job: q.GetJob(), Task: q.GetTask(), State: wire.TaskState_TASK_STATE_RUNNING}
	return nil
}

// End keeps how a task ended.
func (t *Table) End(q *wire.StartRequest, reply *wire.StartReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tasks[ID{Job: q.GetJob(), Task: q.GetTask()}] = &wire.TaskStatus{
		Job: q.GetJob(), Task: q.GetTask(), State: reply.GetState(), Result: reply.GetResult(), Reason: reply.GetReason(),
	}
}

// Ask tells what became of tasks.
func (t *Table) Ask(*wire.AskRequest) *wire.AskReply { return &wire.AskReply{} }

// Cancel stops tasks.
func (t *Table) Cancel(*wire.CancelRequest) {}

// Fence refuses further starts of an entry incarnation.
func (t *Table) Fence(*wire.FenceRequest) *wire.FenceReply {
	return &wire.FenceReply{Agent: t.self}
}

// Forget drops the kept results of jobs.
func (t *Table) Forget(*wire.ForgetRequest) {}
