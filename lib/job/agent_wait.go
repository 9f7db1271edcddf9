package job

import (
	"slices"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// meanRunWeight is the weight of the newest run in the mean run time of a
	// service.
	meanRunWeight = 0.05
	// waitReportTime is how much later than the end of its wait the end of a run is
	// reported at most while the agent answers: a Watch is open to an agent with
	// runs.
	waitReportTime = 50 * time.Millisecond
	// maxSlack stands for the time to the latest start of a job without an
	// objective.
	maxSlack = time.Hour
)

// meanRun is a moving mean of the run times of a service's tasks at a worker with
// a speed factor of 1, weighted by the processor capacity that they take.
type meanRun struct {
	mean time.Duration
	// cpuMillis is the mean of the capacity, by which the weight of a run is scaled.
	cpuMillis float64
}

// with returns the mean after another run.
func (m meanRun) with(run time.Duration, cpuMillis int64) meanRun {
	if m.mean == 0 {
		return meanRun{run, float64(cpuMillis)}
	}
	m.cpuMillis += meanRunWeight * (float64(cpuMillis) - m.cpuMillis)
	weight := min(1, meanRunWeight*float64(cpuMillis)/max(m.cpuMillis, 1))
	m.mean += time.Duration(weight * float64(run-m.mean))
	return m
}

// recordMeanRun adds the time of a run, at a worker with a speed factor of 1, to
// the mean of its service.
func (d *Dispatcher) recordMeanRun(r *run, ran time.Duration) {
	service := r.activeJob.Service
	d.meanRuns[service] = d.meanRuns[service].with(ran, r.need.CPUMillis)
}

// waitAtAgents lets queued tasks for which no worker has room wait at agents, in
// the order of the queue.
func (p *placementPass) waitAtAgents() {
	for _, job := range p.d.queue {
		pool := p.servicePool(job.Service)
		if !pool.hasPriorities {
			continue
		}
		if !pool.hasBacklog {
			pool.backlog, pool.hasBacklog = p.d.backlog(job.Service, p.now), true
		}
		if job.durable.mayStart(p.d.durableJobs) && !job.awaitsFastWorker && !p.isHopeless(job, pool.backlog) {
			p.waitForRoom(pool, job)
		}
		pool.backlog.QueuedWork += job.pendingWork()
	}
	p.d.queue = slices.DeleteFunc(p.d.queue, func(job *activeJob) bool {
		job.queued = len(job.pending) > 0
		return !job.queued
	})
}

// isHopeless reports whether a job that has not started can't meet its objective
// any more, or is to be given up. Such a job stays in the queue, where it is refused:
// its tasks would keep those of other jobs from the queues of agents.
func (p *placementPass) isHopeless(job *activeJob, b admission.Backlog) bool {
	return job.started == 0 && (job.isLate(p.now) || job.unlikelyInTime(b, p.d.waits[job.waitKey()].value(p.now), p.now))
}

// waitForRoom lets the pending tasks of one job wait at agents.
func (p *placementPass) waitForRoom(pool *servicePool, job *activeJob) {
	var launches []*launch
	unplaced := 0
	job.pending = slices.DeleteFunc(job.pending, func(t *task) bool {
		if unplaced == maxUnplaced || job.liveRuns >= maxJobRunsPerWorker*len(pool.links) {
			return false
		}
		i, wait, ok := p.chooseWait(pool, job, t)
		if !ok {
			unplaced++
			return false
		}
		launches = p.addRun(launches, pool, i, job, t, wait)
		return true
	})
	p.send(pool, launches)
}

// chooseWait returns the index of the worker at which a task waits, for how long,
// and whether there is one.
func (p *placementPass) chooseWait(pool *servicePool, job *activeJob, t *task) (int, time.Duration, bool) {
	s := t.step
	limited := len(t.avoid) > 0 || s.MaxPerWorker > 0
	if !limited && includes(pool.unstartable, s) {
		return 0, 0, false
	}
	i, wait, decision := placement.ChooseWait(pool.candidates, p.requirements(job, s), wire.MaxLaunchWait, func(i int) bool {
		return pool.excluded[i] || p.isAtLimit(pool.links[i], s) || slices.Contains(t.avoid, pool.links[i].reported.GetId())
	})
	if decision == placement.Unplaceable && !limited {
		pool.unstartable = append(pool.unstartable, unmetNeed{s.Label, s.need})
	}
	return i, wait, decision == placement.Chosen && wait >= time.Millisecond
}

// spareWait returns how long a run may wait at worker i, which has room by its last
// report.
func (p *placementPass) spareWait(pool *servicePool, i int, job *activeJob, t *task) time.Duration {
	if !pool.hasPriorities {
		return 0
	}
	return p.requirements(job, t.step).SpareWait(pool.candidates[i], wire.MaxLaunchWait)
}

// runQueued records that a run waits at the agent for capacity. It may start until
// its end is reported, but does not count as started before it must have.
func (d *Dispatcher) runQueued(r *run, now time.Duration) {
	d.unreserve(r)
	d.metrics.waits.Inc(1)
	r.waitUntil = now + r.wait
}

// noteWaitOver records that a run has started, or may have, once its wait is over
// and its end as not started would have been reported. When it started is known
// with its end.
func (d *Dispatcher) noteWaitOver(r *run, now time.Duration) {
	if !r.isWaiting() || now <= r.waitUntil+waitReportTime {
		return
	}
	job := r.activeJob
	if job.startedAt == 0 {
		job.startedAt, job.startUnclear = r.waitUntil, true
	}
	r.waitUntil = 0
	r.setStarted(true)
	d.durableJobs.recordStart(job)
}

// isWaiting reports whether the run waits at the agent, as far as is known.
func (r *run) isWaiting() bool { return r.waitUntil > 0 }

// begunBy returns when the run has begun at the latest if it is running.
func (r *run) begunBy() time.Duration { return r.sentAt + r.wait }

// slack returns the time until the latest start of the run with which its job meets
// its objective.
func (r *run) slack() time.Duration {
	job := r.activeJob
	if job.dueAt() == never {
		return maxSlack
	}
	return job.dueAt() - job.remainingTime() - r.sentAt
}

// waitingWork returns what waits at the agent, by its last report.
func (l *link) waitingWork() []placement.WaitingWork {
	var work []placement.WaitingWork
	for _, w := range l.reported.GetWaiting() {
		work = append(work, placement.WaitingWork{Priority: w.GetPriority(), Runs: w.GetRuns(), CPUMillis: w.GetCpuMillis()})
	}
	return work
}

// hasWaiting reports whether a run of the given or a higher priority waits at the
// agent, by its last report.
func (l *link) hasWaiting(priority uint32) bool {
	waiting := l.reported.GetWaiting()
	return len(waiting) > 0 && waiting[0].GetPriority() <= priority
}
