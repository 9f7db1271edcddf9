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

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// defaultEstimate is the run time assumed for tasks without an estimate.
const defaultEstimate = 100 * time.Millisecond

// workItem is the state of an open job. Times are those of the dispatcher's
// clock.
type workItem struct {
	Job
	kindStats  *kindStats
	sequence   uint64
	receivedAt time.Duration
	deadlineAt time.Duration
	// best is the speed factor of the best worker when the job arrived.
	best float64
	// least and ideal are the expected times of the job's critical path at
	// the best and at the usual worker.
	least     time.Duration
	ideal     time.Duration
	objective placement.Objective
	// extra is how much longer than expected its runs have taken.
	extra time.Duration
	// baseAttempt is the number of the last attempt of an earlier job with
	// this ID.
	baseAttempt uint32
	steps       []*step
	tasks       []*task
	// pending holds tasks that may start and have no run.
	pending   []*task
	tasksLeft int
	queued    bool
	// liveRuns counts runs that may not have ended.
	liveRuns int
	// ran counts the runs that have started, or may have.
	ran int
	// awaitsFastWorker is set while a slow worker has capacity, but waiting
	// for a fast one is better.
	awaitsFastWorker bool
	startedAt        time.Duration
	endedAt          time.Duration

	// durable is nil for a best-effort job.
	durable *durableState

	answered bool
	outcome  Outcome
	// done is closed with the answer, settled once no run is left as well.
	done    chan struct{}
	settled chan struct{}
}

// step is the state of a step.
type step struct {
	Step
	index    int
	need     capacity.Vector
	estimate time.Duration
	// waves is how many rounds its tasks need, given the part of the workers'
	// capacity that they get at once.
	waves time.Duration
	// left counts the step's unfinished tasks, waitsFor the unfinished steps
	// it depends on.
	left     int
	waitsFor int
	// placed counts the live runs of the step by worker incarnation.
	placed map[string]uint32
}

// task is the state of one task.
type task struct {
	step    *step
	name    string
	attempt uint32
	failed  uint32
	done    bool
	hangs   uint32
	run     *run
	// avoid lists worker incarnations at which the task failed or hung.
	avoid []string
}

// newWorkItem returns the state of a job accepted at now. Attempts are
// numbered from baseAttempt+1.
func newWorkItem(j Job, k *kindStats, now time.Duration, baseAttempt uint32) *workItem {
	w := &workItem{
		Job:         j,
		kindStats:   k,
		baseAttempt: baseAttempt,
		receivedAt:  now - max(time.Since(j.Received), 0),
		deadlineAt:  never,
		done:        make(chan struct{}),
		settled:     make(chan struct{}),
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
			w.releaseStep(s)
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

// valid reports whether the steps can be run in order.
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

// releaseStep makes the tasks of a step pending.
func (w *workItem) releaseStep(s *step) {
	for i := range int(s.Count) {
		t := &task{
			step:    s,
			name:    fmt.Sprintf("%s.0.%d.%d", w.ID, s.index, i),
			attempt: w.baseAttempt,
		}
		w.tasks = append(w.tasks, t)
		w.pending = append(w.pending, t)
	}
	slices.SortStableFunc(w.pending, func(a, b *task) int {
		return cmp.Compare(b.step.estimate, a.step.estimate)
	})
}

// completed counts a completed task of the step, and releases the steps that
// waited for the last one.
func (w *workItem) completed(s *step) {
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
				w.releaseStep(next)
			}
		}
	}
}

// waveShare is the assumed part of all workers' capacity that the tasks of a
// step get at once.
const waveShare = 0.25

// count sets the waves of each step, given the total capacity of the workers.
func (w *workItem) count(all capacity.Vector) {
	for _, s := range w.steps {
		share := s.need.Times(int64(s.Count)).Share(all)
		s.waves = min(time.Duration(s.Count), max(1, time.Duration(math.Ceil(share/waveShare))))
	}
}

// chain returns the longest sum of estimates along dependent steps, leaving
// out steps that are completed.
func (w *workItem) chain() time.Duration {
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

// dueAt and lastAt return when the job should end, and until when its result
// is useful.
func (w *workItem) dueAt() time.Duration {
	if w.objective.Due == 0 {
		return never
	}
	return w.receivedAt + w.objective.Due
}

func (w *workItem) lastAt() time.Duration {
	if w.objective.WorthlessAfter == 0 {
		return w.deadlineAt
	}
	return min(w.deadlineAt, w.receivedAt+w.objective.WorthlessAfter)
}

// size returns the expected work of the pending tasks, in thousandths of a
// core times time.
func (w *workItem) size() float64 {
	sum := 0.0
	for _, t := range w.pending {
		sum += float64(t.step.need.CPUMillis) * float64(w.kindStats.expected(t.step.estimate))
	}
	return sum
}

// stretch extends the objective when a run takes longer than expected.
func (w *workItem) stretch(now time.Duration) {
	for _, t := range w.tasks {
		if t.run == nil {
			continue
		}
		w.extra = max(w.extra, now-t.run.sentAt-t.run.expected)
	}
	w.objective = placement.NewObjective(w.ideal+w.extra, w.Kind.GetStretch(), time.Duration(w.Kind.GetSlackMillis())*time.Millisecond)
}
