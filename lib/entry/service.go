package entry

import (
	"math/bits"
	"slices"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// defaultRunTime is the initial run time of a kind that declares none.
	defaultRunTime = 100 * time.Millisecond
	// minRunToWait is the expected run time below which a task never waits for
	// a faster worker.
	minRunToWait = 5 * time.Millisecond
	// minSpeedup is how many times faster a busy worker must be for a task to
	// wait for it.
	minSpeedup = 1.2
	// minSizeSamples is the number of runs after which the average for a payload
	// size class is used instead of the kind's.
	minSizeSamples = 8
)

// serviceState is the state of one service at this entry: its queue, its tokens
// and its running tasks. It is guarded by the dispatcher's mutex.
type serviceState struct {
	service string
	queue   *queue
	pool    *pool
	// slots is the number of slots at all workers, whichever entry holds them.
	slots   int
	running map[*task]struct{}
	kinds   map[string]*kindState

	borrowers         []*borrower
	borrowing         map[borrowID]bool
	redispatchPending bool
	// noSlotsSince is when the service lost its last slot; zero while it has
	// any.
	noSlotsSince time.Time
}

func newServiceState(service string, since time.Time) *serviceState {
	return &serviceState{
		service:      service,
		queue:        newQueue(),
		pool:         &pool{},
		running:      map[*task]struct{}{},
		kinds:        map[string]*kindState{},
		borrowing:    map[borrowID]bool{},
		noSlotsSince: since,
	}
}

// kindState holds the learned run times and the waiting tasks of one kind.
type kindState struct {
	name    string
	runTime placement.Average
	// runTimeBySize are the average run times by payload size class.
	runTimeBySize map[int]placement.Average
	// waiting counts the queued tasks by urgency. It is an array because the
	// configured urgency of a kind can change while tasks wait.
	waiting [levels]int
}

// learned reports whether the average run time is based on enough runs.
func (s *kindState) learned() bool { return s.runTime.N >= minLearnedRuns }

// queuedRunTime returns the total expected run time of the queued tasks of at
// least this urgency.
func (s *kindState) queuedRunTime(urgency wire.Urgency) time.Duration {
	n := 0
	for _, waiting := range s.waiting[urgency:] {
		n += waiting
	}
	return time.Duration(n) * s.runTime.Duration()
}

// kind returns the state of a kind, which it creates with the declared run time
// if needed.
func (svc *serviceState) kind(name string, declared time.Duration) *kindState {
	s := svc.kinds[name]
	if s == nil {
		if declared <= 0 {
			declared = defaultRunTime
		}
		s = &kindState{name: name, runTime: placement.FromDeclared(declared), runTimeBySize: map[int]placement.Average{}}
		svc.kinds[name] = s
	}
	return s
}

// sizeClass groups payloads by the power of two of their length.
func sizeClass(payload []byte) int { return bits.Len(uint(len(payload))) }

// expected returns the expected run time for a payload size class.
func (s *kindState) expected(class int) time.Duration {
	if a := s.runTimeBySize[class]; a.N >= minSizeSamples {
		return a.Duration()
	}
	return s.runTime.Duration()
}

// learn updates the averages with the run time of a completed task.
func (svc *serviceState) learn(t *task, run time.Duration) {
	s := t.run.kind
	size, known := s.runTimeBySize[t.class]
	if !known {
		size = placement.Average{Log: s.runTime.Log}
	}
	s.runTimeBySize[t.class], _ = placement.Learn(size, t.server.speed, run)
	reference := s.runTime
	if size.N >= minSizeSamples {
		reference = placement.Average{Log: size.Log, N: size.N}
	}
	_, t.server.speed = placement.Learn(reference, t.server.speed, run)
	s.runTime, _ = placement.Learn(s.runTime, t.server.speed, run)
}

// held returns the number of tokens at this entry, idle or in use, without those
// that evacuated agents will not renew.
func (svc *serviceState) held() int {
	n := svc.pool.held
	for t := range svc.running {
		if t.server.agent.evacuated {
			n--
		}
	}
	return max(n, 0)
}

// demand returns the service's tokens at this entry and the tasks that wait for
// one.
func (svc *serviceState) demand() placement.Demand {
	return placement.Demand{Held: svc.held(), Idle: svc.pool.usable(), Queued: svc.queue.waiting}
}

// needsTokens reports whether tasks of an urgency wait for lack of idle tokens,
// rather than because of a team's limit.
func (svc *serviceState) needsTokens(urgency wire.Urgency) bool {
	return svc.pool.usable() == 0 && leastUsed(svc.queue.levels[urgency]) != nil
}

// fasterSlots caches, for one call of dispatch, the busy slots at servers that
// are more than minSpeedup times faster than a given server.
type fasterSlots struct {
	server *server
	busy   []placement.BusySlot
}

// countWaiting returns how many of the job's queued tasks, in starting order,
// should wait for a faster worker instead of using token h. ahead is the number
// of tasks of other jobs that wait for one too and go first.
func (f *fasterSlots) countWaiting(svc *serviceState, r *run, h *held, ahead int, now time.Time) int {
	factor := h.server.speed.Value()
	for n := range r.queued {
		t := r.queued[len(r.queued)-1-n]
		if time.Duration(float64(t.expected)*factor) < minRunToWait {
			return n
		}
		if f.server != h.server {
			f.server = h.server
			f.busy = svc.fasterBusySlots(t.expected, factor, now)
		}
		if !placement.ShouldWait(t.expected, factor, f.busy, ahead+n) {
			return n
		}
	}
	return len(r.queued)
}

// fasterBusySlots returns the busy slots at servers that are more than
// minSpeedup times faster than one with the given factor, ordered by when a task
// of the given run time would end there.
func (svc *serviceState) fasterBusySlots(run time.Duration, factor float64, now time.Time) []placement.BusySlot {
	var busy []placement.BusySlot
	for t := range svc.running {
		f := t.server.speed.Value()
		if f*minSpeedup < factor && !t.server.health.Ejected() && !t.server.agent.evacuated {
			busy = append(busy, placement.BusySlot{FreeIn: t.remaining(now), Factor: f})
		}
	}
	slices.SortFunc(busy, func(a, b placement.BusySlot) int { return int(a.End(run) - b.End(run)) })
	return busy
}

// load returns the work that has to be done before a new job of the given
// urgency. It counts only tasks of kinds with learned run times, and not those that
// run at evacuated agents, whose slots do not count either.
func (svc *serviceState) load(urgency wire.Urgency, slots int, now time.Time) placement.Load {
	load := placement.Load{Slots: slots}
	for _, kind := range svc.kinds {
		if kind.learned() {
			load.Queued += kind.queuedRunTime(urgency)
		}
	}
	for t := range svc.running {
		if t.run.kind.learned() && !t.server.agent.evacuated {
			load.Running += t.remaining(now)
		}
	}
	return load
}
