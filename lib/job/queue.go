package job

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/capacity"
)

// graceDivisor defines the grace period after a job's receipt: its objective
// divided by graceDivisor. During this time the job may wait for its first
// start even if it is unlikely to meet the objective.
const graceDivisor = 8

// noWorkersTimeout is how long a job waits while no worker accepts runs.
const noWorkersTimeout = 200 * time.Millisecond

// enqueue queues a job that has pending tasks, unless it is queued or answered.
func (d *Dispatcher) enqueue(job *activeJob) {
	if job.answered || job.queued || len(job.pending) == 0 {
		return
	}
	job.queued = true
	d.queue = append(d.queue, job)
}

// dequeue removes a job from the queue and drops its pending tasks.
func (d *Dispatcher) dequeue(job *activeJob) {
	job.pending = nil
	if !job.queued {
		return
	}
	job.queued = false
	d.queue = slices.DeleteFunc(d.queue, func(one *activeJob) bool { return one == job })
}

// sortQueue orders the queue by priority. Within a priority, jobs that have
// started come first, then those that can still meet their objective, then
// those that were refused before, then those that must start earlier, then
// larger ones, then those received earlier. Of the jobs that were refused before,
// those above the budget come after the new ones.
func (d *Dispatcher) sortQueue(now time.Duration) {
	slices.SortFunc(d.queue, func(a, b *activeJob) int { return compareQueued(a, b, now) })
}

func compareQueued(a, b *activeJob, now time.Duration) int {
	if c := cmp.Compare(a.Kind.GetPriority(), b.Kind.GetPriority()); c != 0 {
		return c
	}
	if begun := a.started > 0; begun != (b.started > 0) {
		if begun {
			return -1
		}
		return 1
	}
	if isLate := a.isLate(now); isLate != b.isLate(now) {
		if isLate {
			return 1
		}
		return -1
	}
	if c := a.place.Compare(b.place); c != 0 {
		return c
	}
	if c := cmp.Compare(a.latestStart(), b.latestStart()); c != 0 {
		return c
	}
	if c := cmp.Compare(b.pendingWork(), a.pendingWork()); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// latestStart returns when the job must start to meet its objective on the
// fastest worker.
func (job *activeJob) latestStart() time.Duration {
	if job.objective.Due == 0 {
		return job.deadlineAt
	}
	return job.dueAt() - job.shortest
}

// isLate reports whether the job can't meet its objective any more.
func (job *activeJob) isLate(now time.Duration) bool { return now > job.latestStart() }

// prune gives up queued jobs that are unlikely to end in time. Refusing them
// early lets their callers retry elsewhere.
func (d *Dispatcher) prune(now time.Duration) {
	if len(d.queue) == 0 {
		return
	}
	d.sortQueue(now)
	backlogs := map[string]admission.Backlog{}
	agentWork := map[waitKey]float64{}
	evacuation := d.newEvacuationView()
	for _, job := range slices.Clone(d.queue) {
		b, ok := backlogs[job.Service]
		if !ok {
			b = d.backlog(job.Service, now)
		}
		if _, ok := agentWork[job.waitKey()]; !ok {
			agentWork[job.waitKey()] = d.agentWork(job.waitKey(), now)
		}
		b.AgentWork = agentWork[job.waitKey()]
		ahead := b
		if evacuation.holdsBack(job) {
			ahead.Capacity = 0
		}
		if job.liveRuns == 0 && job.unlikelyInTime(ahead, d.waits[job.waitKey()].value(now), now) {
			d.giveUp(job, giveUpReason(ahead))
		} else {
			b.QueuedWork += job.pendingWork()
		}
		backlogs[job.Service] = b
	}
}

// giveUpReason returns why a job with this backlog ahead of it is given up.
func giveUpReason(b admission.Backlog) string {
	if b.Capacity == 0 {
		return reasonNoWorkers
	}
	return reasonUnlikelyInTime
}

// unlikelyInTime reports whether a job with this backlog ahead of it is
// unlikely to end while its result is useful or, after the grace period, to
// meet its objective. meanWait is the recent average wait of similar jobs.
// Durable jobs are never given up.
func (job *activeJob) unlikelyInTime(b admission.Backlog, meanWait, now time.Duration) bool {
	if job.durable != nil {
		return false
	}
	last := job.usefulUntil()
	waited := now - job.receivedAt
	if b.Capacity == 0 && waited > noWorkersTimeout {
		return true
	}
	if last == never || job.awaitsFastWorker {
		return false
	}
	graceOver := job.startedAt == 0 && waited > job.objective.Due/graceDivisor
	if graceOver {
		last = min(last, job.dueAt())
	}
	if b.Capacity == 0 {
		return graceOver
	}
	wait := max(b.Wait(), meanWait-waited)
	return now+wait+job.remainingTime() > last
}

// remainingTime returns the time that the job still needs on the fastest
// worker.
func (job *activeJob) remainingTime() time.Duration {
	return time.Duration(float64(job.kindStats.expected(job.criticalPath())) * job.bestFactor)
}

// backlog returns the total capacity of the service's workers that accept runs,
// the capacity that this entry's runs use on all workers of the service, and the
// work of those that wait at agents, without those that are evacuated: what
// becomes free there is not used again.
func (d *Dispatcher) backlog(service string, now time.Duration) admission.Backlog {
	b := admission.Backlog{Entries: d.entries}
	for _, l := range d.linksOf(service) {
		if l.evacuated {
			continue
		}
		if l.reported.GetAccepting() && l.isPresent(now) {
			b.Capacity += l.capacity.CPUMillis
		}
		for _, r := range l.runs {
			if r.isWaiting() {
				b.QueuedWork += float64(r.need.CPUMillis) * float64(r.expected)
				continue
			}
			b.Running += r.need.CPUMillis
		}
	}
	return b
}

// totalCapacity returns the total capacity of a service's workers that are not
// evacuated.
func (d *Dispatcher) totalCapacity(service string) capacity.Vector {
	sum := capacity.Vector{}
	for _, l := range d.remainingLinksOf(service) {
		sum = sum.Plus(l.capacity)
	}
	return sum
}
