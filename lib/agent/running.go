package agent

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// running holds the tasks that run at the worker's backend servers, so that
// they can be stopped.
type running struct {
	mu      sync.Mutex
	cancels map[task.ID]context.CancelFunc
}

func newRunning() *running {
	return &running{cancels: map[task.ID]context.CancelFunc{}}
}

// begin returns the context that a task runs under. It does not end with the
// caller's: a task whose caller is lost goes on, up to its deadline.
func (r *running) begin(ctx context.Context, q *wire.StartRequest) context.Context {
	ctx, cancel := contextOf(ctx, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[idOf(q)] = cancel
	return ctx
}

// end forgets a task that has ended.
func (r *running) end(q *wire.StartRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[idOf(q)]()
	delete(r.cancels, idOf(q))
}

// cancel stops the named tasks where they run.
func (r *running) cancel(q *wire.CancelRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range q.GetTasks() {
		if stop := r.cancels[task.ID{Job: q.GetJob(), Task: n}]; stop != nil {
			stop()
		}
	}
}

func contextOf(ctx context.Context, q *wire.StartRequest) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if millis := q.GetDeadlineMillis(); millis > 0 {
		return context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
	}
	return context.WithCancel(ctx)
}

func idOf(q *wire.StartRequest) task.ID {
	return task.ID{Job: q.GetJob(), Task: q.GetTask()}
}
