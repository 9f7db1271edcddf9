package job

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// never is a time that doesn't come.
const never = time.Duration(math.MaxInt64)

// defaultEstimate is taken for tasks of which nothing is known.
const defaultEstimate = 100 * time.Millisecond

// work is a job in hand. Times are those of the desk's clock.
type work struct {
	Job
	kind       *kind
	sequence   uint64
	receivedAt time.Duration
	deadlineAt time.Duration
	// best is the speed factor of the best worker when the job came in.
	best float64
	// least and ideal are the expected times of its longest chain at the best
	// and at the usual worker.
	least     time.Duration
	ideal     time.Duration
	objective placement.Objective
	// extra is how much longer its runs took than expected.
	extra time.Duration
	// base is the number of the last attempt of an earlier job of this ID.
	base  uint32
	steps []*step
	tasks []*task
	// pending are tasks that may start and have no run.
	pending   []*task
	tasksLeft int
	queued    bool
	// live counts runs that may still be there.
	live int
	// ran counts the runs that did something, or may have.
	ran int
	// choosy is set while a slow worker has room, but a fast one is awaited.
	choosy    bool
	startedAt time.Duration
	endedAt   time.Duration

	answered bool
	outcome  Outcome
	// done is closed with the answer, settled once no run is left as well.
	done    chan struct{}
	settled chan struct{}
}

// step is a step in hand.
type step struct {
	Step
	index    int
	need     capacity.Vector
	estimate time.Duration
	// waves is how many times over its tasks fill their part of the workers.
	waves time.Duration
	// left counts tasks that are not done, waitsFor steps before it that are not.
	left     int
	waitsFor int
	// placed counts the live runs of the step by worker life.
	placed map[string]uint32
}

// task is one task in hand.
type task struct {
	step    *step
	name    string
	attempt uint32
	failed  uint32
	hangs   uint32
	run     *run
	// avoid lists worker lives at which it failed or was refused.
	avoid []string
}

// newWork returns the job in hand at now. Attempts are numbered from base+1.
func newWork(j Job, k *kind, now time.Duration, base uint32) *work {
	w := &work{
		Job:        j,
		kind:       k,
		base:       base,
		receivedAt: now - max(time.Since(j.Received), 0),
		deadlineAt: never,
		done:       make(chan struct{}),
		settled:    make(chan struct{}),
	}
	if !j.Deadline.IsZero() {
		w.deadlineAt = now + time.Until(j.Deadline)
	}
	for i, one := range j.Steps {
		w.steps = append(w.steps, newStep(i, one, j))
		w.tasksLeft += int(one.Count)
	}
	for _, s := range w.steps {
		if s.waitsFor == 0 {
			w.release(s)
		}
	}
	return w
}

func newStep(i int, one Step, j Job) *step {
	s := &step{
		Step:     one,
		index:    i,
		need:     capacity.Of(one.Need),
		estimate: one.Estimate,
		left:     int(one.Count),
		waitsFor: len(one.After),
		placed:   map[string]uint32{},
	}
	if s.estimate <= 0 {
		s.estimate = time.Duration(j.Kind.GetExpectedRunMillis()) * time.Millisecond
	}
	if s.estimate <= 0 {
		s.estimate = defaultEstimate
	}
	return s
}

// valid tells whether the steps can be run in some order.
func (j Job) valid() bool {
	for i, s := range j.Steps {
		for _, before := range s.After {
			if before < 0 || before >= i {
				return false
			}
		}
		if s.Count == 0 {
			return false
		}
	}
	return len(j.Steps) > 0
}

// release makes the tasks of a step pending.
func (w *work) release(s *step) {
	for i := range int(s.Count) {
		t := &task{
			step:    s,
			name:    fmt.Sprintf("%s.0.%d.%d", w.ID, s.index, i),
			attempt: w.base,
		}
		w.tasks = append(w.tasks, t)
		w.pending = append(w.pending, t)
	}
	slices.SortStableFunc(w.pending, func(a, b *task) int {
		return cmp.Compare(b.step.estimate, a.step.estimate)
	})
}

// completed takes a task of the step as done and releases the steps that
// waited for the last one.
func (w *work) completed(s *step) {
	s.left--
	w.tasksLeft--
	if s.left > 0 {
		return
	}
	for _, next := range w.steps {
		for _, before := range next.After {
			if before != s.index {
				continue
			}
			next.waitsFor--
			if next.waitsFor == 0 {
				w.release(next)
			}
		}
	}
}

// wavePart is the part of all workers that the tasks of a step are taken to get
// at once.
const wavePart = 0.25

// count sets the waves of each step, given all workers together.
func (w *work) count(all capacity.Vector) {
	for _, s := range w.steps {
		share := s.need.Times(int64(s.Count)).Share(all)
		s.waves = min(time.Duration(s.Count), max(1, time.Duration(math.Ceil(share/wavePart))))
	}
}

// chain returns the longest sum of estimates along steps that wait for each
// other, of those that are not done.
func (w *work) chain() time.Duration {
	ends := make([]time.Duration, len(w.steps))
	longest := time.Duration(0)
	for i, s := range w.steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if s.left > 0 {
			ends[i] += s.waves * s.estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// dueAt and lastAt are when the job should end and until when it is worth it.
func (w *work) dueAt() time.Duration {
	if w.objective.Due == 0 {
		return never
	}
	return w.receivedAt + w.objective.Due
}

func (w *work) lastAt() time.Duration {
	if w.objective.Last == 0 {
		return w.deadlineAt
	}
	return min(w.deadlineAt, w.receivedAt+w.objective.Last)
}

// size is the work of the pending tasks, in thousandths of a core times time.
func (w *work) size() float64 {
	sum := 0.0
	for _, t := range w.pending {
		sum += float64(t.step.need.CPUMillis) * float64(w.kind.expected(t.step.estimate))
	}
	return sum
}

// stretch raises the ideal run time where a run takes longer than expected.
func (w *work) stretch(now time.Duration) {
	for _, t := range w.tasks {
		if t.run == nil {
			continue
		}
		w.extra = max(w.extra, now-t.run.sentAt-t.run.expected)
	}
	w.objective = placement.ObjectiveOf(w.ideal+w.extra, w.Kind.GetStretch(), time.Duration(w.Kind.GetSlackMillis())*time.Millisecond)
}
