package lease

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

var errNoAnswer = errors.New("no answer")

// fakeWorker models a worker with a lease, fencing tokens and a capacity
// counted in runs.
type fakeWorker struct {
	mu           sync.Mutex
	announcement Announcement
	began        time.Time
	rate         float64
	room         int
	fence        uint64
	lease        int64
	cursor       uint64
	lastEnd      uint64
	runs         map[Running]bool
	barred       map[string]uint32
	ends         []Ended
	wake         chan struct{}
	silent       bool
	// onStart, onStop and onHold, if set, replace the handling of a call;
	// apply carries the call out.
	onStart func(q Start, apply func() Answer) (Answer, error)
	onStop  func(q Stop, apply func() Answer) (Answer, error)
	onHold  func(q Hold, apply func() Report) (Report, error)
	// onRun is called with mu held when a run begins.
	onRun  func(q Start)
	starts []Start
	stops  []Stop
	holds  []Hold
	most   int
}

func newFakeWorker(id string, born int64) *fakeWorker {
	return &fakeWorker{
		announcement: Announcement{ID: id, Service: "sizing", Born: born, Sequence: 1, Address: "10.0.0.1:80",
			CPUMillis: 4000, MemoryMB: 4000, Labels: []string{"fast"}},
		began:  time.Now(),
		rate:   0.98,
		room:   1000,
		runs:   map[Running]bool{},
		barred: map[string]uint32{},
		wake:   make(chan struct{}),
	}
}

func (w *fakeWorker) clock() int64 {
	return int64(w.rate * float64(time.Since(w.began).Milliseconds()))
}

// settle ends the runs that the lease no longer covers.
func (w *fakeWorker) settle() {
	if w.clock() <= w.lease {
		return
	}
	for at := range w.runs {
		w.end(at, Lapsed)
	}
}

func (w *fakeWorker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+1000))
}

func (w *fakeWorker) end(at Running, how How) {
	delete(w.runs, at)
	w.barred[at.Task] = max(w.barred[at.Task], at.Run)
	w.lastEnd++
	w.ends = append(w.ends, Ended{Number: w.lastEnd, Task: at.Task, Run: at.Run, How: how})
	close(w.wake)
	w.wake = make(chan struct{})
}

// finish ends a run from inside the worker.
func (w *fakeWorker) finish(task string, run uint32, how How) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(Running{Task: task, Run: run}, how)
}

func (w *fakeWorker) refuse(fence uint64, life string) Refusal {
	if life != w.announcement.ID {
		return RefusedIncarnation
	}
	if fence < w.fence {
		return RefusedFence
	}
	w.fence = fence
	return Accepted
}

func (w *fakeWorker) Start(ctx context.Context, q Start) (Answer, error) {
	w.mu.Lock()
	w.starts = append(w.starts, q)
	f := w.onStart
	w.mu.Unlock()
	apply := func() Answer { return w.applyStart(q) }
	if f != nil {
		return f(q, apply)
	}
	if w.isSilent() {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return apply(), nil
}

func (w *fakeWorker) applyStart(q Start) Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	a := Answer{Refusal: w.refuse(q.Fence, q.WorkerID), ClockMillis: w.clock()}
	if a.Refusal != Accepted {
		return a
	}
	at := Running{Task: q.Task, Run: q.Run}
	switch {
	case q.DeadlineMillis <= w.clock():
		a.Refusal = RefusedLate
		return a
	case w.runs[at]:
	case q.Run <= w.barred[q.Task]:
		a.Refusal = RefusedOld
	case len(w.runs) >= w.room:
		a.Refusal = RefusedCapacity
	default:
		w.runs[at] = true
		w.most = max(w.most, len(w.runs))
		if w.onRun != nil {
			w.onRun(q)
		}
	}
	w.extend(q.DeadlineMillis)
	return a
}

func (w *fakeWorker) Stop(ctx context.Context, q Stop) (Answer, error) {
	w.mu.Lock()
	w.stops = append(w.stops, q)
	f := w.onStop
	w.mu.Unlock()
	apply := func() Answer { return w.applyStop(q) }
	if f != nil {
		return f(q, apply)
	}
	if w.isSilent() {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return apply(), nil
}

func (w *fakeWorker) applyStop(q Stop) Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	a := Answer{Refusal: w.refuse(q.Fence, q.WorkerID), ClockMillis: w.clock()}
	if a.Refusal != Accepted {
		return a
	}
	w.barred[q.Task] = max(w.barred[q.Task], q.Run)
	if at := (Running{Task: q.Task, Run: q.Run}); w.runs[at] {
		time.AfterFunc(50*time.Millisecond, func() { w.finishStopped(at) })
	}
	return a
}

func (w *fakeWorker) finishStopped(at Running) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[at] {
		w.end(at, Stopped)
	}
}

func (w *fakeWorker) Hold(ctx context.Context, q Hold) (Report, error) {
	w.mu.Lock()
	w.holds = append(w.holds, q)
	f := w.onHold
	w.mu.Unlock()
	apply := func() Report { return w.applyHold(ctx, q) }
	if f != nil {
		return f(q, apply)
	}
	if w.isSilent() {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	r := apply()
	return r, ctx.Err()
}

func (w *fakeWorker) applyHold(ctx context.Context, q Hold) Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	r := Report{Answer: Answer{Refusal: w.refuse(q.Fence, q.WorkerID), ClockMillis: w.clock()}, Born: w.announcement.Born}
	if r.Refusal != Accepted {
		return r
	}
	w.extend(q.DeadlineMillis)
	w.cursor = max(w.cursor, q.Cursor)
	w.ends = slices.DeleteFunc(w.ends, func(e Ended) bool { return e.Number <= w.cursor })
	if q.WaitMillis > 0 && len(w.ends) == 0 {
		w.await(ctx, time.Duration(q.WaitMillis)*time.Millisecond)
	}
	w.settle()
	for at := range w.runs {
		r.Running = append(r.Running, at)
	}
	r.Ended = slices.Clone(w.ends)
	r.ClockMillis = w.clock()
	return r
}

func (w *fakeWorker) await(ctx context.Context, d time.Duration) {
	wake := w.wake
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-wake:
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *fakeWorker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

// set runs f with mu held.
func (w *fakeWorker) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// running returns the tasks that run, sorted.
func (w *fakeWorker) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	var tasks []string
	for at := range w.runs {
		tasks = append(tasks, at.Task)
	}
	slices.Sort(tasks)
	return tasks
}

// startsOf counts the orders to start a task.
func (w *fakeWorker) startsOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, q := range w.starts {
		if q.Task == task {
			n++
		}
	}
	return n
}
