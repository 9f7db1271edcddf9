package agent

import (
	"context"

	"skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// Reasons for not starting a task, in addition to those of package task.
const (
	reasonLeaving   = "agentLeaving"
	reasonVoidToken = "voidToken"
	reasonEvacuated = wire.ReasonEvacuated
)

// Start implements wire.Agent. The task continues if the caller is lost.
func (a *Agent) Start(ctx context.Context, q *wire.StartRequest) (*wire.StartReply, error) {
	if !wire.Same(q.GetAgent(), a.follower.Member().GetIncarnation()) {
		// Token numbers are valid only within one incarnation of the agent.
		return notStarted(task.ReasonOtherIncarnation), nil
	}
	if !a.gate.Enter() {
		return a.reject(q, reasonLeaving), nil
	}
	defer a.gate.Leave()
	if a.evacuated() {
		return a.reject(q, reasonEvacuated), nil
	}
	server, token, ok := a.takeSlot(ctx, q)
	if !ok && a.evacuated() {
		return a.reject(q, reasonEvacuated), nil
	}
	if !ok {
		return a.reject(q, reasonVoidToken), nil
	}
	reply := a.tasks.Begin(q)
	if reply == nil {
		reply = a.run(ctx, server, q)
	}
	reply.Token = a.slots.Return(q.GetCoordinator(), token)
	return reply, nil
}

// takeSlot takes a slot for a start: that of the request's token, or the next
// free one if it has none. It returns the slot's backend server and the number of
// the token, or false if there is no slot.
func (a *Agent) takeSlot(ctx context.Context, q *wire.StartRequest) (string, uint64, bool) {
	if q.GetToken() == 0 {
		return a.slots.Acquire(ctx, q.GetCoordinator(), q.GetService())
	}
	server, ok := a.slots.Use(q.GetCoordinator(), q.GetToken())
	return server, q.GetToken(), ok
}

// run runs a task on its backend server and records its end.
func (a *Agent) run(ctx context.Context, server string, q *wire.StartRequest) *wire.StartReply {
	ctx = a.runningTasks.add(ctx, q)
	defer a.runningTasks.remove(q)
	reply := a.runner.Run(ctx, a.registry.URL(server), q)
	a.tasks.End(q, reply)
	if reply.GetState() != wire.TaskState_TASK_STATE_DONE {
		a.count("tasks_not_done", reply.GetReason())
	}
	return reply
}

// reject answers a start that is not accepted. If an earlier copy of the
// request has started the task, it returns that task's state instead.
func (a *Agent) reject(q *wire.StartRequest, reason string) *wire.StartReply {
	a.count("starts_refused", reason)
	if earlierReply := a.earlierReply(q); earlierReply != nil {
		return earlierReply
	}
	return notStarted(reason)
}

// earlierReply returns the reply for a task that an earlier copy of the request
// has started here, or nil.
func (a *Agent) earlierReply(q *wire.StartRequest) *wire.StartReply {
	for _, status := range a.tasks.Ask(context.Background(), &wire.AskRequest{Job: q.GetJob(), Tasks: []uint32{q.GetTask()}, Agent: q.GetAgent()}).GetTasks() {
		switch status.GetState() {
		case wire.TaskState_TASK_STATE_RUNNING, wire.TaskState_TASK_STATE_DONE, wire.TaskState_TASK_STATE_FAILED:
			return &wire.StartReply{State: status.GetState(), Reason: status.GetReason(), Result: status.GetResult()}
		}
	}
	return nil
}

func (a *Agent) count(counter, reason string) {
	a.metrics.Scope().Tagged(map[string]string{"reason": reason}).Counter(counter).Inc(1)
}

func notStarted(reason string) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: reason}
}
