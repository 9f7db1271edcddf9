// Package task tracks the tasks started at one agent, so that none starts
// twice there, and none starts on behalf of an entry that was fenced.
package task

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

// Reasons for refusing a start, and for the lack of a task's result.
const (
	ReasonOtherIncarnation   = "otherIncarnation"
	ReasonNotCurrent         = "notCurrent"
	ReasonFenced             = "fenced"
	ReasonBarred             = "barred"
	ReasonUnknownCoordinator = "unknownCoordinator"
	ReasonAlreadyStarted     = "alreadyStarted"
	ReasonResultDropped      = "resultDropped"
)

// Members provides the directory and this agent's lease state. It is
// implemented by membership.Follower.
type Members interface {
	// Directory returns the newest directory, which is never modified in
	// place.
	Directory() *wire.Directory
	// Current reports whether this agent's own lease is valid.
	Current() bool
}

// ID identifies one task of one job.
type ID struct {
	Job  string
	Task uint32
}

// Table tracks the tasks that an agent has started, and those that it was told
// never to start when it had no record of them. The latter are called barred.
type Table struct {
	self    *wire.Incarnation
	members Members
	scope   tally.Scope

	mu          sync.Mutex
	jobs        map[string]map[uint32]*record
	ended       []ended
	resultBytes int
	// fenced incarnations stay fenced for the lifetime of the agent.
	fenced map[uint64]bool
	// coordinators holds the incarnation numbers of the entries in
	// lastDirectory that were not declared dead.
	coordinators  map[uint64]bool
	lastDirectory *wire.Directory
}

// record is the state of one task.
type record struct {
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
		jobs:    map[string]map[uint32]*record{},
		fenced:  map[uint64]bool{},
	}
}

// Begin records a task as started and returns nil. If the task must not start,
// Begin returns the reply to send instead.
func (t *Table) Begin(q *wire.StartRequest) *wire.StartReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictExpired(time.Now())
	if old := t.jobs[q.GetJob()][q.GetTask()]; old != nil {
		return t.repeatedReply(old.status)
	}
	if reason := t.refusal(q); reason != "" {
		t.countRefusal(reason)
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: reason}
	}
	t.put(q.GetJob(), q.GetTask(), &record{
		status:      &wire.TaskStatus{Job: q.GetJob(), Task: q.GetTask(), State: wire.TaskState_TASK_STATE_RUNNING},
		coordinator: q.GetCoordinator(),
		done:        make(chan struct{}),
	})
	return nil
}

// repeatedReply returns the reply to a start of a task that already has a
// record.
func (t *Table) repeatedReply(status *wire.TaskStatus) *wire.StartReply {
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		t.countRefusal(ReasonBarred)
		return &wire.StartReply{State: status.GetState(), Reason: ReasonBarred}
	}
	t.countRefusal(ReasonAlreadyStarted)
	return &wire.StartReply{State: status.GetState(), Reason: ReasonAlreadyStarted, Result: status.GetResult()}
}

// refusal returns the reason for refusing a start, "" if it may proceed.
func (t *Table) refusal(q *wire.StartRequest) string {
	t.refreshCoordinators()
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

// refreshCoordinators updates coordinators if the directory has changed.
func (t *Table) refreshCoordinators() {
	directory := t.members.Directory()
	if directory == t.lastDirectory {
		return
	}
	t.lastDirectory = directory
	t.coordinators = map[uint64]bool{}
	for _, member := range directory.GetMembers() {
		if member.GetRole() == wire.Role_ROLE_ENTRY {
			t.coordinators[member.GetIncarnation().GetNumber()] = true
		}
	}
	for _, inc := range directory.GetDead() {
		delete(t.coordinators, inc.GetNumber())
	}
}

// End records how a task ended. If the task was not sent to its backend
// server, its record is removed, and it may be started again here or at another
// agent.
func (t *Table) End(q *wire.StartRequest, reply *wire.StartReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.jobs[q.GetJob()][q.GetTask()]
	if rec == nil || rec.status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
		return
	}
	if reply.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		t.remove(ID{Job: q.GetJob(), Task: q.GetTask()})
		close(rec.done)
		return
	}
	rec.status = &wire.TaskStatus{
		Job: q.GetJob(), Task: q.GetTask(), State: reply.GetState(), Result: reply.GetResult(), Reason: reply.GetReason(),
	}
	close(rec.done)
	t.retain(ID{Job: q.GetJob(), Task: q.GetTask()}, rec)
}

// Ask returns the states of tasks. It waits up to the requested time for
// running tasks to end. Unknown tasks are barred if the request says so,
// otherwise they are absent from the reply. If the request names another
// incarnation of the agent, the reply is empty.
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
	status, done := t.lookup(q, task)
	if status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
		return status
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	status, _ = t.lookup(q, task)
	return status
}

// lookup returns the state of a task. An unknown task is barred if the request
// says so.
func (t *Table) lookup(q *wire.AskRequest, task uint32) (*wire.TaskStatus, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec := t.jobs[q.GetJob()][task]
	if rec == nil && q.GetBar() {
		rec = t.bar(ID{Job: q.GetJob(), Task: task})
	}
	if rec == nil {
		return nil, nil
	}
	return rec.status, rec.done
}

// Cancel bars the tasks that have no record yet. The caller must stop those
// that are running.
func (t *Table) Cancel(q *wire.CancelRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, task := range q.GetTasks() {
		if t.jobs[q.GetJob()][task] == nil {
			t.bar(ID{Job: q.GetJob(), Task: task})
		}
	}
}

// Fence makes the table refuse further starts by an entry incarnation. It
// returns the states of the tasks of the given job or, if none is given, of all
// tasks started by the incarnation.
func (t *Table) Fence(q *wire.FenceRequest) *wire.FenceReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fenced[q.GetEntry().GetNumber()] = true
	reply := &wire.FenceReply{Agent: t.self}
	if q.GetJob() != "" {
		for _, rec := range t.jobs[q.GetJob()] {
			reply.Tasks = append(reply.Tasks, rec.status)
		}
		return reply
	}
	for _, tasks := range t.jobs {
		for _, rec := range tasks {
			if rec.coordinator.GetNumber() == q.GetEntry().GetNumber() {
				reply.Tasks = append(reply.Tasks, rec.status)
			}
		}
	}
	return reply
}

// Len returns the number of tasks that have a record.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, tasks := range t.jobs {
		n += len(tasks)
	}
	return n
}

func (t *Table) put(job string, task uint32, rec *record) {
	tasks := t.jobs[job]
	if tasks == nil {
		tasks = map[uint32]*record{}
		t.jobs[job] = tasks
	}
	tasks[task] = rec
}

func (t *Table) remove(id ID) {
	delete(t.jobs[id.Job], id.Task)
	if len(t.jobs[id.Job]) == 0 {
		delete(t.jobs, id.Job)
	}
}

// bar records an unknown task as not started, so that a later start is refused.
func (t *Table) bar(id ID) *record {
	t.countRefusal("newly_" + ReasonBarred)
	rec := &record{status: &wire.TaskStatus{
		Job: id.Job, Task: id.Task, State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: ReasonBarred,
	}}
	t.put(id.Job, id.Task, rec)
	t.retain(id, rec)
	return rec
}

func (t *Table) countRefusal(reason string) {
	t.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}
