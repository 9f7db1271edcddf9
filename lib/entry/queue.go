package entry

import (
	"container/heap"
	"slices"

	"skylarklane.example/lib/placement"
)

// levels is the number of urgencies.
const levels = placement.Urgencies

// queue holds the tasks of one service that wait for a slot: the most urgent
// first, then the team that has used least of its share, then the earliest
// deadline, then the longest task of the job.
type queue struct {
	levels [levels]map[*team]*jobHeap
	// waiting is the number of waiting tasks by urgency.
	waiting [levels]int
	tasks   int
}

func newQueue() *queue {
	q := &queue{}
	for n := range q.levels {
		q.levels[n] = map[*team]*jobHeap{}
	}
	return q
}

// top returns the job whose turn it is; nil where none may start a task.
func (q *queue) top() *run {
	for n := levels - 1; n >= 0; n-- {
		if jobs := poorest(q.levels[n]); jobs != nil {
			return (*jobs)[0]
		}
	}
	return nil
}

// take removes the waiting task at place n of its job's line.
func (q *queue) take(r *run, n int) *task {
	t := r.ready[len(r.ready)-1-n]
	q.drop(r, len(r.ready)-1-n)
	return t
}

// poorest returns the jobs of the team that has used least of its share among
// those below their limit.
func poorest(teams map[*team]*jobHeap) *jobHeap {
	var best *team
	for t := range teams {
		if t.account.MayStart() && (best == nil || before(t, best)) {
			best = t
		}
	}
	return teams[best]
}

func before(a, b *team) bool {
	if a.account.Used != b.account.Used {
		return a.account.Used < b.account.Used
	}
	return a.name < b.name
}

// push puts a task at the head of its job's waiting tasks.
func (q *queue) push(t *task) {
	r := t.run
	r.ready = append(r.ready, t)
	q.tasks++
	q.waiting[r.urgency]++
	r.kind.waiting[r.urgency]++
	if r.place < 0 {
		q.enter(r)
	}
}

// drop takes one waiting task out of its job.
func (q *queue) drop(r *run, n int) {
	q.tasks--
	q.waiting[r.urgency]--
	r.kind.waiting[r.urgency]--
	r.ready = slices.Delete(r.ready, n, n+1)
	if len(r.ready) == 0 {
		q.leave(r)
	}
}

// remove takes all tasks of a job out.
func (q *queue) remove(r *run) {
	for len(r.ready) > 0 {
		q.drop(r, len(r.ready)-1)
	}
}

func (q *queue) enter(r *run) {
	jobs := q.levels[r.urgency][r.team]
	if jobs == nil {
		jobs = &jobHeap{}
		q.levels[r.urgency][r.team] = jobs
	}
	r.team.waiting++
	heap.Push(jobs, r)
}

func (q *queue) leave(r *run) {
	jobs := q.levels[r.urgency][r.team]
	heap.Remove(jobs, r.place)
	r.team.waiting--
	if jobs.Len() == 0 {
		delete(q.levels[r.urgency], r.team)
	}
}

// jobHeap orders the waiting jobs of a team by deadline.
type jobHeap []*run

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(a, b int) bool {
	if !h[a].deadline.Equal(h[b].deadline) {
		return h[a].deadline.Before(h[b].deadline)
	}
	return h[a].order < h[b].order
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].place, h[b].place = a, b
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	r := x.(*run)
	r.place = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.place = -1
	return r
}
