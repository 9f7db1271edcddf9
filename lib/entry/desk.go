package entry

import (
	"math/bits"
	"slices"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// defaultRun is the run time of a kind that declares none.
	defaultRun = 100 * time.Millisecond
	// shortRun is the run time below which no task waits for a faster worker.
	shortRun = 5 * time.Millisecond
	// muchFaster is how much faster a worker must be to be worth a wait.
	muchFaster = 1.2
	// sizeSamples is how many runs of a payload size count.
	sizeSamples = 8
)

// desk is one service at this entry: what waits for it and which slots are
// held. The dispatcher's lock guards it.
type desk struct {
	service string
	queue   *queue
	pool    *pool
	// slots of all workers, held by any entry.
	slots   int
	running map[*task]struct{}
	kinds   map[string]*kindState

	borrowers []*borrower
	borrowing map[loanID]bool
	recheck   bool
	// emptySince is since when no worker has a slot; zero while one has.
	emptySince time.Time
}

func newDesk(service string, since time.Time) *desk {
	return &desk{
		service:    service,
		queue:      newQueue(),
		pool:       &pool{},
		running:    map[*task]struct{}{},
		kinds:      map[string]*kindState{},
		borrowing:  map[loanID]bool{},
		emptySince: since,
	}
}

// kindState is what the entry has learned of one kind of request.
type kindState struct {
	name  string
	times placement.Average
	// sizes are the times by the payload's size.
	sizes map[int]placement.Average
	// waiting tasks by urgency, which a change of configuration may move.
	waiting [levels]int
}

// learned tells whether enough runs were seen to go by.
func (s *kindState) learned() bool { return s.times.N >= learnedRuns }

// ahead returns the expected run time of the waiting tasks that are at least
// as urgent.
func (s *kindState) ahead(urgency wire.Urgency) time.Duration {
	n := 0
	for _, waiting := range s.waiting[urgency:] {
		n += waiting
	}
	return time.Duration(n) * s.times.Duration()
}

// kind returns what is known of a kind, at first what it declares.
func (k *desk) kind(name string, declared time.Duration) *kindState {
	s := k.kinds[name]
	if s == nil {
		if declared <= 0 {
			declared = defaultRun
		}
		s = &kindState{name: name, times: placement.Declared(declared), sizes: map[int]placement.Average{}}
		k.kinds[name] = s
	}
	return s
}

// sizeClass groups payloads by the power of two of their length.
func sizeClass(payload []byte) int { return bits.Len(uint(len(payload))) }

// expected returns the expected run time for a payload size.
func (s *kindState) expected(class int) time.Duration {
	if a := s.sizes[class]; a.N >= sizeSamples {
		return a.Duration()
	}
	return s.times.Duration()
}

// learn takes the run time of a finished task in.
func (k *desk) learn(t *task, run time.Duration) {
	s := t.run.kind
	size, known := s.sizes[t.class]
	if !known {
		size = placement.Average{Log: s.times.Log}
	}
	s.sizes[t.class], _ = placement.Learn(size, t.server.speed, run)
	reference := s.times
	if size.N >= sizeSamples {
		reference = placement.Average{Log: size.Log, N: size.N}
	}
	_, t.server.speed = placement.Learn(reference, t.server.speed, run)
	s.times, _ = placement.Learn(s.times, t.server.speed, run)
}

// demand is what the desk has and needs.
func (k *desk) demand() placement.Demand {
	return placement.Demand{Held: k.pool.held, Idle: k.pool.usable(), Queued: k.queue.waiting}
}

// lacks tells whether tasks of an urgency wait because no slot is idle, not
// because of a team's limit.
func (k *desk) lacks(urgency wire.Urgency) bool {
	return k.pool.usable() == 0 && poorest(k.queue.levels[urgency]) != nil
}

// fasterSlots are the busy slots at workers that are much faster than the best
// idle one, gathered once for one look at the queue.
type fasterSlots struct {
	server *server
	busy   []placement.Busy
}

// waiting returns how many of a job's tasks, from the first, should rather wait
// for a faster worker than h's.
func (f *fasterSlots) waiting(k *desk, r *run, h *held, ahead int, now time.Time) int {
	factor := h.server.speed.Value()
	for n := range r.ready {
		t := r.ready[len(r.ready)-1-n]
		if time.Duration(float64(t.expected)*factor) < shortRun {
			return n
		}
		if f.server != h.server {
			f.server = h.server
			f.busy = k.faster(t.expected, factor, now)
		}
		if !placement.Waits(t.expected, factor, f.busy, ahead+n) {
			return n
		}
	}
	return len(r.ready)
}

// faster returns the busy slots at workers that are much faster than factor,
// first those on which a task of the given run time ends first.
func (k *desk) faster(run time.Duration, factor float64, now time.Time) []placement.Busy {
	var busy []placement.Busy
	for t := range k.running {
		f := t.server.speed.Value()
		if f*muchFaster < factor && !t.server.health.Ejected() {
			busy = append(busy, placement.Busy{FreeIn: t.remaining(now), Factor: f})
		}
	}
	slices.SortFunc(busy, func(a, b placement.Busy) int { return int(a.End(run) - b.End(run)) })
	return busy
}

// load is the work before a new job of an urgency, as far as the kinds of its
// tasks are learned.
func (k *desk) load(urgency wire.Urgency, slots int, now time.Time) placement.Load {
	load := placement.Load{Slots: slots}
	for _, kind := range k.kinds {
		if kind.learned() {
			load.Queued += kind.ahead(urgency)
		}
	}
	for t := range k.running {
		if t.run.kind.learned() {
			load.Running += t.remaining(now)
		}
	}
	return load
}
