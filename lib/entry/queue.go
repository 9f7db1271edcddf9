package entry

import (
	"container/heap"
	"slices"

	"skylarklane.example/lib/placement"
)

// levels is the number of urgency levels.
const levels = placement.Urgencies

// queue holds the waiting tasks of one service. They start in order of urgency
// (highest first), usage of the team (lowest first), place of the job (those that
// were refused before and are within the budget first), deadline of the job
// (earliest first) and expected run time within the job (longest first).
type queue struct {
	levels [levels]map[*team]*jobHeap
	// waiting counts the waiting tasks by urgency.
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

// top returns the job whose task is to start next, or nil if none may start.
func (q *queue) top() *run {
	for n := levels - 1; n >= 0; n-- {
		if jobs := leastUsed(q.levels[n]); jobs != nil {
			return (*jobs)[0]
		}
	}
	return nil
}

// take removes and returns the queued task at position n of the job's starting
// order.
func (q *queue) take(r *run, n int) *task {
	t := r.queued[len(r.queued)-1-n]
	q.removeTask(r, len(r.queued)-1-n)
	return t
}

// leastUsed returns the jobs of the team with the lowest usage among those below
// their limit, or nil if there is none.
func leastUsed(teams map[*team]*jobHeap) *jobHeap {
	var best *team
	for t := range teams {
		if t.account.MayStart() && (best == nil || usedLess(t, best)) {
			best = t
		}
	}
	return teams[best]
}

func usedLess(a, b *team) bool {
	if a.account.Used != b.account.Used {
		return a.account.Used < b.account.Used
	}
	return a.name < b.name
}

// push adds a task to its job's queued tasks, as the next one to start.
func (q *queue) push(t *task) {
	r := t.run
	r.queued = append(r.queued, t)
	q.tasks++
	q.waiting[r.urgency]++
	r.kind.waiting[r.urgency]++
	if r.heapIndex < 0 {
		q.addJob(r)
	}
}

// removeTask removes the queued task of a job at index n.
func (q *queue) removeTask(r *run, n int) {
	q.tasks--
	q.waiting[r.urgency]--
	r.kind.waiting[r.urgency]--
	r.queued = slices.Delete(r.queued, n, n+1)
	if len(r.queued) == 0 {
		q.removeJob(r)
	}
}

// removeAllTasks removes all queued tasks of a job.
func (q *queue) removeAllTasks(r *run) {
	for len(r.queued) > 0 {
		q.removeTask(r, len(r.queued)-1)
	}
}

// addJob makes a job eligible to start tasks.
func (q *queue) addJob(r *run) {
	jobs := q.levels[r.urgency][r.team]
	if jobs == nil {
		jobs = &jobHeap{}
		q.levels[r.urgency][r.team] = jobs
	}
	r.team.waiting++
	heap.Push(jobs, r)
}

// removeJob makes a job ineligible. Its queued tasks stay counted.
func (q *queue) removeJob(r *run) {
	jobs := q.levels[r.urgency][r.team]
	heap.Remove(jobs, r.heapIndex)
	r.team.waiting--
	if jobs.Len() == 0 {
		delete(q.levels[r.urgency], r.team)
	}
}

// jobHeap orders the waiting jobs of a team by place and deadline.
type jobHeap []*run

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(a, b int) bool {
	if c := h[a].place.Compare(h[b].place); c != 0 {
		return c < 0
	}
	if !h[a].deadline.Equal(h[b].deadline) {
		return h[a].deadline.Before(h[b].deadline)
	}
	return h[a].order < h[b].order
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	r := x.(*run)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}
