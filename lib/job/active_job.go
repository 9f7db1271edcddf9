package job

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// never stands for a time that is never reached, such as the deadline of a job
// without one.
const never = time.Duration(math.MaxInt64)

// answerMargin is how long before its deadline a job is answered that waits for
// a silent agent, so that the answer arrives while the caller still waits.
const answerMargin = 100 * time.Millisecond

// defaultEstimate is the run time assumed for tasks without an estimate.
const defaultEstimate = 100 * time.Millisecond

// activeJob is the state of a job from its acceptance until it is answered and
// its last run has ended. Times are those of the dispatcher's clock.
type activeJob struct {
	Job
	kindStats  *kindStats
	sequence   uint64
	receivedAt time.Duration
	deadlineAt time.Duration
	// bestFactor is the speed factor of the fastest worker when the job
	// arrived.
	bestFactor float64
	// shortest and ideal are the expected times of the job's critical path on
	// the fastest and on an average worker.
	shortest  time.Duration
	ideal     time.Duration
	objective placement.Objective
	// overrun is the longest time by which a run that has ended had exceeded its
	// expected time.
	overrun time.Duration
	// awaitsAgent is set while a run waits for a silent agent.
	awaitsAgent bool
	// baseAttempt is the highest attempt number that an earlier job with this
	// ID, or an earlier owner of a durable job, may have used.
	baseAttempt uint32
	steps       []*step
	tasks       []*task
	// pending holds the tasks that are ready to start and have no run.
	pending   []*task
	tasksLeft int
	queued    bool
	// liveRuns counts the runs that are not known to have ended.
	liveRuns int
	// started counts the runs that have started, or may have.
	started int
	// awaitsFastWorker is set while only a slow worker has capacity, on which
	// the job would miss its objective, and a fast one may become free in time.
	awaitsFastWorker bool
	// startedAt is when an agent first started a run of the job, endedAt when
	// a run last completed a task; 0 before.
	startedAt time.Duration
	endedAt   time.Duration
	// startUnclear is set while startedAt is the latest time at which a run that
	// waited has started.
	startUnclear bool

	// place is the job's place among the queued ones of its priority.
	place admission.Place
	// backlogWait is the wait that the time of a retry was computed from, if the
	// job was refused because of a backlog.
	backlogWait time.Duration

	// durable is nil for a best-effort job.
	durable *durableState

	answered bool
	outcome  Outcome
	// done is closed once the job is answered, settled once it also has no
	// runs left.
	done    chan struct{}
	settled chan struct{}
	// successors counts the submissions under the job's ID that wait for its runs to
	// end; cancelled is closed, and replaced, when they are cancelled.
	successors int
	cancelled  chan struct{}
	// callers counts the requests at this entry that wait for the outcome. Other
	// entries wait for it until joinedUntil, and longer if they ask again.
	callers     int
	joinedUntil time.Duration
}

// isLeft reports whether nobody waits for the outcome of a best-effort job.
func (job *activeJob) isLeft(now time.Duration) bool {
	return job.durable == nil && job.callers == 0 && now >= job.joinedUntil
}

// step is the state of a step.
type step struct {
	Step
	index    int
	need     capacity.Vector
	estimate time.Duration
	// waves is how many batches its tasks are assumed to run in, one after
	// another. It is a duration because it multiplies the estimate.
	waves time.Duration
	// unfinished counts the step's unfinished tasks, unfinishedBefore the
	// unfinished steps it depends on.
	unfinished       int
	unfinishedBefore int
	// runsAt counts the live runs of the step by worker incarnation.
	runsAt map[string]uint32
}

// task is the state of one task.
type task struct {
	step     *step
	name     string
	attempt  uint32
	failures uint32
	done     bool
	hangs    uint32
	run      *run
	// avoid lists worker incarnations on which a run of the task failed or
	// hung.
	avoid []string
}

// newActiveJob returns the state of a job accepted at now. Attempts are
// numbered from baseAttempt+1.
func newActiveJob(j Job, stats *kindStats, now time.Duration, baseAttempt uint32) *activeJob {
	job := &activeJob{
		Job:         j,
		kindStats:   stats,
		baseAttempt: baseAttempt,
		receivedAt:  now - max(time.Since(j.Received), 0),
		deadlineAt:  never,
		done:        make(chan struct{}),
		settled:     make(chan struct{}),
		cancelled:   make(chan struct{}),
	}
	if !j.Deadline.IsZero() {
		job.deadlineAt = now + time.Until(j.Deadline)
	}
	job.steps = make([]*step, 0, len(j.Steps))
	for i, one := range j.Steps {
		job.steps = append(job.steps, newStep(i, one, j))
		job.tasksLeft += int(one.Count)
	}
	job.tasks = make([]*task, 0, job.tasksLeft)
	job.releaseSteps(slices.DeleteFunc(slices.Clone(job.steps), func(s *step) bool { return s.unfinishedBefore > 0 }))
	return job
}

func newStep(i int, one Step, j Job) *step {
	s := &step{
		Step:             one,
		index:            i,
		need:             capacity.FromWire(one.Need),
		estimate:         one.Estimate,
		unfinished:       int(one.Count),
		unfinishedBefore: len(one.After),
		runsAt:           map[string]uint32{},
	}
	if s.estimate <= 0 {
		s.estimate = time.Duration(j.Kind.GetExpectedRunMillis()) * time.Millisecond
	}
	if s.estimate <= 0 {
		s.estimate = defaultEstimate
	}
	return s
}

// valid reports whether the job has steps, none is empty, and each depends only
// on earlier ones.
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

// releaseSteps makes the tasks of steps pending.
func (job *activeJob) releaseSteps(released []*step) {
	n := 0
	for _, s := range released {
		n += int(s.Count)
	}
	job.pending = slices.Grow(job.pending, n)
	for _, s := range released {
		for i := range int(s.Count) {
			t := &task{
				step:    s,
				name:    job.ID + ".0." + strconv.Itoa(s.index) + "." + strconv.Itoa(i),
				attempt: job.baseAttempt,
			}
			job.tasks = append(job.tasks, t)
			job.pending = append(job.pending, t)
		}
	}
	slices.SortStableFunc(job.pending, func(a, b *task) int {
		return cmp.Compare(b.step.estimate, a.step.estimate)
	})
}

// taskCompleted counts a completed task of the step. After the step's last
// task, it releases the steps that depend on it. It reports whether it released
// one.
func (job *activeJob) taskCompleted(s *step) (released bool) {
	s.unfinished--
	job.tasksLeft--
	if s.unfinished > 0 {
		return false
	}
	var ready []*step
	for _, next := range job.steps {
		for _, before := range next.After {
			if before != s.index {
				continue
			}
			next.unfinishedBefore--
			if next.unfinishedBefore == 0 {
				ready = append(ready, next)
			}
		}
	}
	if len(ready) > 0 {
		job.releaseSteps(ready)
	}
	return len(ready) > 0
}

// waveShare is the part of the capacity of all workers that the tasks of one
// step are assumed to get at the same time.
const waveShare = 0.25

// setWaves sets the waves of each step, given the total capacity of the
// workers.
func (job *activeJob) setWaves(total capacity.Vector) {
	for _, s := range job.steps {
		share := s.need.Times(int64(s.Count)).Share(total)
		s.waves = min(time.Duration(s.Count), max(1, time.Duration(math.Ceil(share/waveShare))))
	}
}

// criticalPath returns the longest sum of estimated times along dependent
// steps, leaving out steps that are completed. The estimated time of a step is
// that of all its waves.
func (job *activeJob) criticalPath() time.Duration {
	ends := make([]time.Duration, len(job.steps))
	longest := time.Duration(0)
	for i, s := range job.steps {
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		if s.unfinished > 0 {
			ends[i] += s.waves * s.estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// dueAt and usefulUntil return when the job should end, and until when its
// result is useful.
func (job *activeJob) dueAt() time.Duration {
	if job.objective.Due == 0 {
		return never
	}
	return job.receivedAt + job.objective.Due
}

func (job *activeJob) usefulUntil() time.Duration {
	if job.objective.WorthlessAfter == 0 {
		return job.deadlineAt
	}
	return min(job.deadlineAt, job.receivedAt+job.objective.WorthlessAfter)
}

// pendingWork returns the expected work of the pending tasks, in thousandths of
// a core times nanoseconds.
func (job *activeJob) pendingWork() float64 {
	sum := 0.0
	for _, t := range job.pending {
		sum += float64(t.step.need.CPUMillis) * float64(job.kindStats.expected(t.step.estimate))
	}
	return sum
}

// extendObjective extends the objective if a run takes longer than expected. A
// run that waits for a silent agent does not count: if the machine is lost, the
// run never ends, and the objective would be extended until the caller has left.
func (job *activeJob) extendObjective(now time.Duration) {
	overrun := job.overrun
	job.awaitsAgent = false
	for _, t := range job.tasks {
		switch {
		case t.run == nil:
		case t.run.link.isAwaited(now):
			job.awaitsAgent = true
		default:
			overrun = max(overrun, t.run.overrun(now))
		}
	}
	job.objective = job.objectiveFor(job.ideal + overrun)
}

// objectiveFor returns the objective of a job that is expected to take ideal.
func (job *activeJob) objectiveFor(ideal time.Duration) placement.Objective {
	return placement.NewObjective(ideal, job.Kind.GetStretch(), time.Duration(job.Kind.GetSlackMillis())*time.Millisecond)
}

// answerBy returns when a best-effort job must be answered. A job that waits for
// a silent agent is answered while its caller still waits.
func (job *activeJob) answerBy() time.Duration {
	if job.awaitsAgent && job.deadlineAt != never {
		return job.deadlineAt - answerMargin
	}
	return job.deadlineAt
}
