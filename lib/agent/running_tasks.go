package agent

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// runningTasks holds the cancel functions of the tasks running on the worker's
// backend servers.
type runningTasks struct {
	mu      sync.Mutex
	cancels map[task.ID]context.CancelFunc
}

func newRunningTasks() *runningTasks {
	return &runningTasks{cancels: map[task.ID]context.CancelFunc{}}
}

// add returns the context that a task runs under. It is detached from the
// caller's context: if the caller is lost, the task continues up to its
// deadline.
func (r *runningTasks) add(ctx context.Context, q *wire.StartRequest) context.Context {
	ctx, cancel := taskContext(ctx, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[taskID(q)] = cancel
	return ctx
}

// remove releases the context of a task that has ended.
func (r *runningTasks) remove(q *wire.StartRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[taskID(q)]()
	delete(r.cancels, taskID(q))
}

// cancel cancels the running tasks named in the request.
func (r *runningTasks) cancel(q *wire.CancelRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range q.GetTasks() {
		if cancelTask := r.cancels[task.ID{Job: q.GetJob(), Task: n}]; cancelTask != nil {
			cancelTask()
		}
	}
}

func taskContext(ctx context.Context, q *wire.StartRequest) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if millis := q.GetDeadlineMillis(); millis > 0 {
		return context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

func taskID(q *wire.StartRequest) task.ID {
	return task.ID{Job: q.GetJob(), Task: q.GetTask()}
}
