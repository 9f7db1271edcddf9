package admission

import (
	"container/list"
	"time"

	"skylarklane.example/lib/quota"
)

const (
	// historyRetention is how long a refused job is remembered. It is longer than
	// MaxRetryAfter and the time until most callers give up.
	historyRetention = 30 * time.Second
	// historySize bounds the remembered jobs.
	historySize = 4096
)

// Turn is where a job is queued among the jobs of its priority.
type Turn int

// The turns, in the order in which jobs start.
const (
	// TurnFirst is that of a job that was refused before and is within the budget.
	TurnFirst Turn = iota - 1
	// TurnNew is that of a job that was not refused before.
	TurnNew
	// TurnLast is that of a job that was refused before and exceeds the budget.
	TurnLast
)

// String returns the camelCase name of the turn.
func (t Turn) String() string {
	switch t {
	case TurnFirst:
		return "first"
	case TurnLast:
		return "last"
	}
	return "new"
}

// Place is the place of a job among the queued ones of its priority. The zero
// value is that of a new job.
type Place struct {
	Turn Turn
	// RefusedAt is when a job with another turn than TurnNew was refused first.
	RefusedAt time.Duration
}

// Compare returns a negative number if a job at place p starts before one at
// place q, a positive one if it starts after it, and 0 if the places are equal.
// Jobs that were refused before start by age.
func (p Place) Compare(q Place) int {
	if p.Turn != q.Turn {
		return int(p.Turn - q.Turn)
	}
	switch {
	case p.RefusedAt < q.RefusedAt:
		return -1
	case p.RefusedAt > q.RefusedAt:
		return 1
	}
	return 0
}

// History remembers refused jobs, so that they start before new ones when they
// are submitted again. What exceeds the budget starts after new ones instead:
// otherwise new jobs would wait until they are refused too. Its methods are not
// safe for concurrent use.
type History struct {
	// byID has the elements of byAge, the values of which are *refusedJob, the
	// one refused last at the back.
	byID   map[string]*list.Element
	byAge  *list.List
	budget quota.RetryBudget
}

// refusedJob is a remembered job.
type refusedJob struct {
	id              string
	firstAt, lastAt time.Duration
}

// NewHistory returns an empty history with a full budget.
func NewHistory() *History {
	return &History{byID: map[string]*list.Element{}, byAge: list.New(), budget: quota.NewRetryBudget()}
}

// Len returns the number of remembered jobs.
func (h *History) Len() int { return h.byAge.Len() }

// AddRefused remembers that a job was refused at now. place is the one that it
// had.
func (h *History) AddRefused(id string, place Place, now time.Duration) {
	h.evict(now)
	job := &refusedJob{id: id, firstAt: now, lastAt: now}
	if place.Turn != TurnNew {
		job.firstAt = place.RefusedAt
	}
	if element := h.byID[id]; element != nil {
		job.firstAt = min(job.firstAt, element.Value.(*refusedJob).firstAt)
		h.remove(element)
	}
	h.byID[id] = h.byAge.PushBack(job)
	if h.byAge.Len() > historySize {
		h.remove(h.byAge.Front())
	}
}

// TakePlace returns the place of a job that is submitted at now, and forgets
// that it was refused.
func (h *History) TakePlace(id string, now time.Duration) Place {
	h.evict(now)
	element := h.byID[id]
	if element == nil {
		return Place{}
	}
	h.remove(element)
	place := Place{Turn: TurnLast, RefusedAt: element.Value.(*refusedJob).firstAt}
	if budget, ok := h.budget.WithRetry(); ok {
		h.budget, place.Turn = budget, TurnFirst
	}
	return place
}

// AddStart adds the start of a job to the budget.
func (h *History) AddStart() { h.budget = h.budget.WithStart() }

// evict forgets the jobs that were refused longer ago than historyRetention.
func (h *History) evict(now time.Duration) {
	for front := h.byAge.Front(); front != nil && now-front.Value.(*refusedJob).lastAt > historyRetention; front = h.byAge.Front() {
		h.remove(front)
	}
}

func (h *History) remove(element *list.Element) {
	delete(h.byID, element.Value.(*refusedJob).id)
	h.byAge.Remove(element)
}
