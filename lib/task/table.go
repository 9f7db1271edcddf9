// Package task keeps what became of each task at one agent, so that none
// starts twice there, and none starts for an entry that was given up.
package task

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

// Reasons why a task has no result.
const (
	ReasonOtherIncarnation   = "otherIncarnation"
	ReasonNotCurrent         = "notCurrent"
	ReasonFenced             = "fenced"
	ReasonBarred             = "barred"
	ReasonUnknownCoordinator = "unknownCoordinator"
	ReasonAlreadyStarted     = "alreadyStarted"
	ReasonResultDropped      = "resultDropped"
)

// Members is what a table needs to know of the system. A membership.Follower
// is one.
type Members interface {
	// Directory returns the newest directory; it is never changed in place.
	Directory() *wire.Directory
	// Current tells whether this agent's own lease stands.
	Current() bool
}

// ID names one task of one job.
type ID struct {
	Job  string
	Task uint32
}

// Table holds the tasks that an agent has started.
type Table struct {
	self    *wire.Incarnation
	members Members
	scope   tally.Scope

	mu    sync.Mutex
	jobs  map[string]map[uint32]*entry
	ended []ended
	bytes int
	// fenced incarnations stay so for the life of the agent.
	fenced map[uint64]bool
	// coordinators are the entries in the directory that they were read from.
	coordinators map[uint64]bool
	read         *wire.Directory
}

// entry is one task.
type entry struct {
	status      *wire.TaskStatus
	coordinator *wire.Incarnation
	done        chan struct{}
}

// New returns an empty table for the agent incarnation self.
func New(self *wire.Incarnation, members Members, scope tally.Scope) *Table {
	return &Table{
		self:    self,
		members: members,
		scope:   scope.SubScope("tasks"),
		jobs:    map[string]map[uint32]*entry{},
		fenced:  map[uint64]bool{},
	}
}

// Begin marks a task as started. It returns a reply where the task must not
// start; the caller then passes that on.
func (t *Table) Begin(q *wire.StartRequest) *wire.StartReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetOld(time.Now())
	if old := t.jobs[q.GetJob()][q.GetTask()]; old != nil {
		return t.repeated(old.status)
	}
	if reason := t.refusal(q); reason != "" {
		t.count(reason)
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: reason}
	}
	t.put(q.GetJob(), q.GetTask(), &entry{
		status:      &wire.TaskStatus{Job: q.GetJob(), Task: q.GetTask(), State: wire.TaskState_TASK_STATE_RUNNING},
		coordinator: q.GetCoordinator(),
		done:        make(chan struct{}),
	})
	return nil
}

// repeated answers a start of a task that is known.
func (t *Table) repeated(status *wire.TaskStatus) *wire.StartReply {
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		t.count(ReasonBarred)
		return &wire.StartReply{State: status.GetState(), Reason: ReasonBarred}
	}
	t.count(ReasonAlreadyStarted)
	return &wire.StartReply{State: status.GetState(), Reason: ReasonAlreadyStarted, Result: status.GetResult()}
}

// refusal returns why a start is refused, empty where it is not.
func (t *Table) refusal(q *wire.StartRequest) string {
	t.follow()
	switch {
	case q.GetAgent().GetNumber() != t.self.GetNumber():
		return ReasonOtherIncarnation
	case !t.members.Current():
		return ReasonNotCurrent
	case t.fenced[q.GetCoordinator().GetNumber()]:
		return ReasonFenced
	case !t.coordinators[q.GetCoordinator().GetNumber()]:
		return ReasonUnknownCoordinator
	}
	return ""
}

// follow reads the entries of a new directory. Incarnations that were declared
// dead are no members.
func (t *Table) follow() {
	directory := t.members.Directory()
	if directory == t.read {
		return
	}
	t.read = directory
	t.coordinators = map[uint64]bool{}
	for _, member := range directory.GetMembers() {
		if member.GetRole() == wire.Role_ROLE_ENTRY {
			t.coordinators[member.GetIncarnation().GetNumber()] = true
		}
	}
	for _, who := range directory.GetDead() {
		delete(t.coordinators, who.GetNumber())
	}
}

// End keeps how a task ended. One that never reached its backend server may
// start again, here or elsewhere.
func (t *Table) End(q *wire.StartRequest, reply *wire.StartReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[q.GetJob()][q.GetTask()]
	if e == nil || e.status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
		return
	}
	if reply.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		t.remove(ID{Job: q.GetJob(), Task: q.GetTask()})
		close(e.done)
		return
	}
	e.status = &wire.TaskStatus{
		Job: q.GetJob(), Task: q.GetTask(), State: reply.GetState(), Result: reply.GetResult(), Reason: reply.GetReason(),
	}
	close(e.done)
	t.keep(ID{Job: q.GetJob(), Task: q.GetTask()}, e)
}

// Ask tells what became of tasks. It waits for running ones as long as asked.
// Tasks that are not known are barred where the question says so, else absent
// from the reply. Another incarnation knows nothing.
func (t *Table) Ask(ctx context.Context, q *wire.AskRequest) *wire.AskReply {
	reply := &wire.AskReply{}
	if q.GetAgent().GetNumber() != t.self.GetNumber() {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetWaitMillis())*time.Millisecond)
	defer cancel()
	for _, task := range q.GetTasks() {
		if status := t.await(ctx, q, task); status != nil {
			reply.Tasks = append(reply.Tasks, status)
		}
	}
	return reply
}

func (t *Table) await(ctx context.Context, q *wire.AskRequest, task uint32) *wire.TaskStatus {
	status, done := t.look(q, task)
	if status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
		return status
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	status, _ = t.look(q, task)
	return status
}

// look returns the state of a task, and bars it where it is not known.
func (t *Table) look(q *wire.AskRequest, task uint32) (*wire.TaskStatus, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.jobs[q.GetJob()][task]
	if e == nil && q.GetBar() {
		e = t.bar(ID{Job: q.GetJob(), Task: task})
	}
	if e == nil {
		return nil, nil
	}
	return e.status, e.done
}

// Cancel bars tasks that have not started. Stopping the others is up to
// whoever runs them.
func (t *Table) Cancel(q *wire.CancelRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, task := range q.GetTasks() {
		if t.jobs[q.GetJob()][task] == nil {
			t.bar(ID{Job: q.GetJob(), Task: task})
		}
	}
}

// Fence refuses further starts of an entry incarnation and tells the states of
// the tasks of the job; where none is named, of the tasks that the incarnation
// started.
func (t *Table) Fence(q *wire.FenceRequest) *wire.FenceReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenced[q.GetEntry().GetNumber()] = true
	reply := &wire.FenceReply{Agent: t.self}
	if q.GetJob() != "" {
		for _, e := range t.jobs[q.GetJob()] {
			reply.Tasks = append(reply.Tasks, e.status)
		}
		return reply
	}
	for _, tasks := range t.jobs {
		for _, e := range tasks {
			if e.coordinator.GetNumber() == q.GetEntry().GetNumber() {
				reply.Tasks = append(reply.Tasks, e.status)
			}
		}
	}
	return reply
}

// Len returns the number of known tasks.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, tasks := range t.jobs {
		n += len(tasks)
	}
	return n
}

func (t *Table) put(job string, task uint32, e *entry) {
	tasks := t.jobs[job]
	if tasks == nil {
		tasks = map[uint32]*entry{}
		t.jobs[job] = tasks
	}
	tasks[task] = e
}

func (t *Table) remove(id ID) {
	delete(t.jobs[id.Job], id.Task)
	if len(t.jobs[id.Job]) == 0 {
		delete(t.jobs, id.Job)
	}
}

func (t *Table) bar(id ID) *entry {
	t.count("newly_" + ReasonBarred)
	e := &entry{status: &wire.TaskStatus{
		Job: id.Job, Task: id.Task, State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: ReasonBarred,
	}}
	t.put(id.Job, id.Task, e)
	t.keep(id, e)
	return e
}

func (t *Table) count(reason string) {
	t.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}
