package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// life is one life of the worker, from its first announcement until it is
// replaced. Durations are readings of the steady clock.
type life struct {
	name   string
	said   Announcement
	worker Worker
	ctx    context.Context
	cancel context.CancelFunc
	// unannounced is set for a life that is known by its reports only.
	unannounced bool
	// quiet is set while its silence has been told.
	quiet   bool
	left    bool
	refused bool
	cleared bool
	// clockMillis is a reading of the worker's clock, not later than clockAt.
	clockMillis int64
	clockAt     time.Duration
	// repliedAt is when the newest answer to a hold came.
	repliedAt time.Duration
	// heldAt is when the newest hold that was acknowledged was sent.
	heldAt time.Duration
	// leaseUntil is when its lease has surely lapsed.
	leaseUntil time.Duration
	// goneAt is when the lease has surely lapsed also of a life under the same
	// id that no one knew of: its clock began anew, so that it grants the most.
	goneAt time.Duration
	// sent and taken number the holds.
	sent, taken uint64
	// cursor is the newest end that was taken in.
	cursor  uint64
	active  map[string]*run
	waiting map[string]*run
	numbers map[string]number
	// speed is its run times over those expected.
	speed  placement.Average
	strays map[Running]*stray
	// kick asks for a hold at once.
	kick    chan struct{}
	retired bool
	// heir is the life under the same id that has replaced this one.
	heir *life
}

// number is the highest number of a task's runs at a worker.
type number struct {
	high uint32
	at   time.Duration
}

func newLife(a Announcement, w Worker, now time.Duration) *life {
	return &life{
		name:        a.LifeName(),
		said:        a,
		worker:      w,
		clockMillis: a.ClockMillis,
		clockAt:     now,
		repliedAt:   now,
		active:      map[string]*run{},
		waiting:     map[string]*run{},
		numbers:     map[string]number{},
		strays:      map[Running]*stray{},
		kick:        make(chan struct{}, 1),
	}
}

// clock is a lower bound of the worker's clock.
func (l *life) clock(now time.Duration) int64 {
	return l.clockMillis + int64(slowest*float64((now-l.clockAt).Milliseconds()))
}

// readClock takes in a reading of the worker's clock that came at now.
func (l *life) readClock(millis int64, now time.Duration) {
	if millis > l.clock(now) {
		l.clockMillis, l.clockAt = millis, now
	}
}

// used is what accepted runs take, those that are being stopped included.
func (l *life) used() capacity.Vector {
	var sum capacity.Vector
	for _, r := range l.active {
		sum = sum.Plus(r.need)
	}
	for _, r := range l.waiting {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (l *life) free() capacity.Vector { return l.said.capacity().Minus(l.used()) }

// learn takes in how long a task took that is done. The beginning of a run
// whose start got no answer isn't known.
func (l *life) learn(r *run, ran time.Duration) {
	if !r.unanswered {
		l.speed = l.speed.WithRun(ran, r.expected)
	}
}

// isUnsettled tells whether the worker has left starts of a run unanswered, and
// its stop so far.
func (l *life) isUnsettled() bool {
	for _, r := range l.active {
		if r.phase == stopping && r.unanswered && !r.known {
			return true
		}
	}
	return false
}

// noteNumber remembers that the task's runs up to high were used.
func (l *life) noteNumber(task string, high uint32, now time.Duration) {
	l.numbers[task] = number{max(high, l.numbers[task].high), now}
}

// forgetNumbers drops the numbers of tasks that were last used before.
func (l *life) forgetNumbers(before time.Duration) {
	for task, n := range l.numbers {
		if n.at < before && l.active[task] == nil && l.waiting[task] == nil {
			delete(l.numbers, task)
		}
	}
}

// ask has the worker looked at once.
func (l *life) ask() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}
