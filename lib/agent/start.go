package agent

import (
	"context"

	"skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// Reasons for which a task is not started, besides those of package task.
const (
	reasonLeaving   = "agentLeaving"
	reasonVoidToken = "voidToken"
)

// Start implements wire.Agent. The task goes on where the caller is lost.
func (a *Agent) Start(ctx context.Context, q *wire.StartRequest) (*wire.StartReply, error) {
	if !wire.Same(q.GetAgent(), a.follower.Member().GetIncarnation()) {
		// The token numbers of another life mean nothing here.
		return notStarted(task.ReasonOtherIncarnation), nil
	}
	if !a.gate.Enter() {
		return a.refuse(q, reasonLeaving), nil
	}
	defer a.gate.Leave()
	server, token, ok := a.slot(ctx, q)
	if !ok {
		return a.refuse(q, reasonVoidToken), nil
	}
	reply := a.table.Begin(q)
	if reply == nil {
		reply = a.run(ctx, server, q)
	}
	reply.Token = a.book.Return(q.GetCoordinator(), token)
	return reply, nil
}

// slot takes the slot for a start: that of its token, or the next free one
// where it has none. It returns the backend server and the token's number.
func (a *Agent) slot(ctx context.Context, q *wire.StartRequest) (string, uint64, bool) {
	if q.GetToken() == 0 {
		return a.book.Enter(ctx, q.GetCoordinator(), q.GetService())
	}
	server, ok := a.book.Take(q.GetCoordinator(), q.GetToken())
	return server, q.GetToken(), ok
}

// run sends a task that the table has let through to its backend server.
func (a *Agent) run(ctx context.Context, server string, q *wire.StartRequest) *wire.StartReply {
	ctx = a.running.begin(ctx, q)
	defer a.running.end(q)
	reply := a.runner.Run(ctx, a.registry.URL(server), q)
	a.table.End(q, reply)
	if reply.GetState() != wire.TaskState_TASK_STATE_DONE {
		a.count("tasks_not_done", reply.GetReason())
	}
	return reply
}

// refuse answers a start that is not taken. A copy of it that got through
// before is told of instead.
func (a *Agent) refuse(q *wire.StartRequest, reason string) *wire.StartReply {
	a.count("starts_refused", reason)
	if known := a.known(q); known != nil {
		return known
	}
	return notStarted(reason)
}

// known returns the state of a task that has started here before.
func (a *Agent) known(q *wire.StartRequest) *wire.StartReply {
	for _, status := range a.table.Ask(context.Background(), &wire.AskRequest{Job: q.GetJob(), Tasks: []uint32{q.GetTask()}, Agent: q.GetAgent()}).GetTasks() {
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
