package job

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// endedJobRetention is how long an ended job is remembered.
	endedJobRetention = 30 * time.Second
	// knownWorkerRetention is how long a worker that has left still counts when
	// deciding whether a task can ever fit.
	knownWorkerRetention = time.Minute
)

// knownWorker holds the capacity and labels of workers of a service, and when
// such a worker was last present.
type knownWorker struct {
	placement.Candidate
	seenAt time.Duration
}

func (s knownWorker) sameShape(other knownWorker) bool {
	return sameShape(s.Candidate, other.Candidate)
}

// sameShape reports whether two workers have the same capacity and labels.
func sameShape(a, b placement.Candidate) bool {
	return a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// endedJob is what is remembered of a job.
type endedJob struct {
	// attempt is the highest attempt number of its tasks.
	attempt uint32
	// ran is set if tasks have run, or may have.
	ran     bool
	outcome Outcome
	endedAt time.Duration
	// barred is set if the job was cancelled and is not known here otherwise.
	barred bool
}

// admitted is the result of an attempt to admit a job.
type admitted struct {
	// job is nil if the job was refused, or waits for earlier.
	job *activeJob
	// joined is set if another request with the same ID began the job.
	joined  bool
	earlier *earlierJob
	refused Outcome
}

// admit accepts a job, or returns why not. A job that is open under the same ID is
// joined. If that one was stopped, the new one waits until its runs have ended, but
// not longer than waitLimit.
func (d *Dispatcher) admit(ctx context.Context, j Job) admitted {
	var timer *time.Timer
	for {
		a := d.tryAdmit(j)
		if a.earlier == nil {
			return a
		}
		earlier := a.earlier
		if timer == nil {
			timer = time.NewTimer(d.waitLimit(j))
			defer timer.Stop()
		}
		reason := ""
		select {
		case <-earlier.settled:
		case <-earlier.cancelled:
			reason = reasonCancelled
		case <-timer.C:
			reason = reasonEarlierRuns
		case <-d.stopped:
			reason = reasonShuttingDown
		case <-ctx.Done():
			reason = reasonCallerDisconnected
		}
		if out, refused := d.endWait(j, earlier.activeJob, reason); refused {
			return admitted{refused: out}
		}
	}
}

// waitLimit returns how long a job waits for the runs of an earlier one: while
// its result would be useful, and until shortly before its deadline, so that the
// answer arrives while the caller still waits.
func (d *Dispatcher) waitLimit(j Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := maxAgentSilence
	if !j.Deadline.IsZero() {
		limit = time.Until(j.Deadline) - answerMargin
	}
	if !j.valid() {
		return limit
	}
	now := d.clock.Now()
	job := newActiveJob(j, d.kindStatsOf(j), now, 0)
	d.setExpectations(job, now)
	if job.objective.WorthlessAfter == 0 {
		return limit
	}
	return min(limit, job.usefulUntil()-now)
}

// endWait ends the wait of a job for an earlier one, and refuses the job if there
// is a reason.
func (d *Dispatcher) endWait(j Job, earlier *activeJob, reason string) (out Outcome, refused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	earlier.successors--
	if reason == "" {
		return Outcome{}, false
	}
	j.ranBefore = j.ranBefore || !earlier.hasNotRun()
	return d.refuseJob(j, reason), true
}

// earlierJob is a job with the same ID that still has runs. cancelled is closed if
// those that wait for it are cancelled.
type earlierJob struct {
	*activeJob
	cancelled <-chan struct{}
}

// tryAdmit accepts a job or joins the open one with its ID. If that one was stopped
// and still has runs, the caller waits for them until it calls endWait.
func (d *Dispatcher) tryAdmit(j Job) admitted {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.claiming != nil && j.claiming.cancelled {
		return admitted{refused: Outcome{State: Failed, Reason: reasonCancelled}}
	}
	if j.claimant != nil && j.claiming.rival != nil {
		return admitted{refused: Outcome{State: NotRun, Reason: wire.ReasonClaimed}}
	}
	earlier := d.jobs[j.ID]
	switch {
	case earlier == nil:
	case earlier.durable != nil:
		return admitted{refused: d.refuseJob(j, reasonDurableJobExists)}
	case !earlier.answered || earlier.outcome.isFinal():
		earlier.callers++
		d.logEvent(event.JobJoined, slog.String("job", j.ID), slog.String("entry", d.self.GetId()))
		return admitted{job: earlier, joined: true}
	default:
		earlier.successors++
		return admitted{earlier: &earlierJob{earlier, earlier.cancelled}}
	}
	if ended := d.endedJobs[j.ID]; ended.outcome.isFinal() {
		d.logJoined(j.ID, d.self, ended.outcome, 0)
		return admitted{refused: ended.outcome}
	}
	if d.shuttingDown {
		return admitted{refused: d.refuseJob(j, reasonShuttingDown)}
	}
	if !j.valid() {
		d.metrics.refusal(reasonInvalid)
		return admitted{refused: Outcome{State: Failed, Reason: reasonInvalid}}
	}
	return admitted{job: d.accept(j)}
}

// accept registers a job and places or queues its tasks, unless the job fits on
// no worker, its deadline has passed or it is given up at once.
func (d *Dispatcher) accept(j Job) *activeJob {
	now := d.clock.Now()
	ended := d.endedJobs[j.ID]
	j.ranBefore = j.ranBefore || ended.ran
	job := newActiveJob(j, d.kindStatsOf(j), now, ended.attempt)
	job.callers = 1
	job.place = d.takePlace(j.ID, now)
	d.register(job, now)
	if d.neverFits(job) {
		d.finish(job, Outcome{State: Failed, Reason: reasonNeverFits})
		return job
	}
	if now >= job.deadlineAt {
		d.finish(job, d.stoppedOutcome(job, reasonDeadline))
		return job
	}
	d.enqueue(job)
	d.place(now)
	if job.queued && job.liveRuns == 0 {
		d.giveUpIfUnlikely(job, now)
	}
	return job
}

// register adds a new job and computes its sequence number, expected times and
// objective.
func (d *Dispatcher) register(job *activeJob, now time.Duration) {
	d.sequence++
	job.sequence = d.sequence
	d.setExpectations(job, now)
	d.jobs[job.ID] = job
	d.endIdle()
	d.demandAt[job.Service] = now
	d.logReceived(job)
	if d.workersChanged {
		d.recordWorkers(now)
	}
}

// setExpectations sets the expected times and the objective of a new job.
func (d *Dispatcher) setExpectations(job *activeJob, now time.Duration) {
	job.setWaves(d.totalCapacity(job.Service))
	factors := d.speedFactors(job.Service, now)
	job.bestFactor = placement.BestFactor(factors)
	job.shortest = job.remainingTime()
	job.ideal = time.Duration(float64(job.kindStats.expected(job.criticalPath())) * placement.MeanFactor(factors))
	job.objective = job.objectiveFor(job.ideal)
}

// giveUpIfUnlikely gives up a new job that found no capacity if the queue is
// full or the job is unlikely to end in time.
func (d *Dispatcher) giveUpIfUnlikely(job *activeJob, now time.Duration) {
	if d.queuedBestEffort() > d.cfg.MaxQueued {
		d.giveUp(job, reasonQueueFull)
		return
	}
	b := d.backlog(job.Service, now)
	b.AgentWork = d.agentWork(job.waitKey(), now)
	for _, other := range d.queue {
		if other == job {
			break
		}
		if other.Service == job.Service {
			b.QueuedWork += other.pendingWork()
		}
	}
	if job.unlikelyInTime(b, d.waits[job.waitKey()].value(now), now) {
		d.giveUp(job, reasonUnlikelyInTime)
	}
}

// refuse is refuseJob for callers that don't hold mu.
func (d *Dispatcher) refuse(j Job, reason string) Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refuseJob(j, reason)
}

// refuseJob returns the outcome of a job that was never accepted, or whose earlier
// attempt has run and is not repeated. The caller holds mu.
func (d *Dispatcher) refuseJob(j Job, reason string) Outcome {
	if j.ranBefore {
		d.metrics.failure(reason)
		out := Outcome{State: Abandoned, Reason: reason}
		d.logNotRepeated(j, out)
		return out
	}
	d.metrics.refusal(reason)
	if tellsCaller(reason) {
		d.history.AddRefused(j.ID, admission.Place{}, d.clock.Now())
	}
	out := Outcome{State: NotRun, Reason: reason, RetryAfter: d.retryAfterRefusal(j, reason)}
	d.logRefused(j, out)
	return out
}

// speedFactors returns the speed factors of a service's workers that are not
// evacuated.
func (d *Dispatcher) speedFactors(service string, now time.Duration) []float64 {
	var factors []float64
	for _, l := range d.remainingLinksOf(service) {
		factors = append(factors, l.speed.value(now))
	}
	return factors
}

// neverFits reports whether a step needs more than any worker of the service
// has, or had recently. Evacuated workers count, as they will return. It reports
// false until all agents are known.
func (d *Dispatcher) neverFits(job *activeJob) bool {
	for _, l := range d.links {
		if !l.unlisted && !l.hasState() {
			return false
		}
	}
	if len(d.knownWorkers[job.Service]) == 0 {
		return false
	}
	for _, s := range job.steps {
		if !d.fitsSomewhere(job, s) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) fitsSomewhere(job *activeJob, s *step) bool {
	requirements := s.requirements()
	return slices.ContainsFunc(d.knownWorkers[job.Service], func(one knownWorker) bool { return requirements.Suits(one.Candidate) })
}

// recordWorkers records the capacity and labels of the present workers, and
// drops those of workers that left longer ago than knownWorkerRetention.
func (d *Dispatcher) recordWorkers(now time.Duration) {
	d.recordedAt, d.workersChanged = now, false
	for _, l := range d.links {
		if l.hasState() && !l.unlisted {
			d.recordWorker(l.reported.GetService(), knownWorker{l.shape(), now})
		}
	}
	for service, workers := range d.knownWorkers {
		d.knownWorkers[service] = slices.DeleteFunc(workers, func(one knownWorker) bool { return now-one.seenAt > knownWorkerRetention })
	}
}

// recordWorker records one worker; workers with the same capacity and labels
// are recorded once.
func (d *Dispatcher) recordWorker(service string, worker knownWorker) {
	i := slices.IndexFunc(d.knownWorkers[service], worker.sameShape)
	if i < 0 {
		d.knownWorkers[service] = append(d.knownWorkers[service], worker)
		return
	}
	d.knownWorkers[service][i].seenAt = worker.seenAt
}
