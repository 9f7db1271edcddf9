package job

import (
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/wire"
)

// retryAfter returns when the caller of a refused job should submit it again. If
// the job was refused because of a backlog, that is once the capacity has
// processed the work of the same and of higher priorities. A job with a deadline
// returns early enough to meet it.
func (d *Dispatcher) retryAfter(job *activeJob, reason string, now time.Duration) time.Duration {
	retry := admission.Retry{Backlog: admission.BriefDelay}
	if hasBacklog(reason) {
		if b := d.backlogFor(job, now); b.Capacity > 0 {
			job.backlogWait = b.Wait()
			retry.Backlog = job.backlogWait
		}
	}
	if job.deadlineAt != never {
		retry.Limit = job.deadlineAt - now - job.remainingTime()
	}
	return d.drawRetryAfter(retry, reason)
}

// retryAfterRefusal is retryAfter for a job that was never accepted.
func (d *Dispatcher) retryAfterRefusal(j Job, reason string) time.Duration {
	retry := admission.Retry{Backlog: admission.BriefDelay}
	if !j.Deadline.IsZero() {
		retry.Limit = time.Until(j.Deadline)
	}
	return d.drawRetryAfter(retry, reason)
}

func (d *Dispatcher) drawRetryAfter(retry admission.Retry, reason string) time.Duration {
	after := retry.After(rand.Float64())
	if tellsCaller(reason) {
		d.metrics.retryAfter.RecordDuration(after)
	}
	return after
}

// hasBacklog reports whether jobs are refused for this reason because of the
// work ahead of them.
func hasBacklog(reason string) bool {
	return reason == reasonUnlikelyInTime || reason == reasonQueueFull || reason == reasonTooLate
}

// tellsCaller reports whether the caller of a job that did not run for this
// reason is told to submit it again, rather than having left, cancelled the job
// or submitted it again already.
func tellsCaller(reason string) bool {
	switch reason {
	case reasonCallerDisconnected, reasonDeadline, reasonResubmitted, reasonCancelled, reasonDurableJobExists, wire.ReasonClaimed:
		return false
	}
	return true
}

// takePlace returns the place in the queue of a job that is submitted.
func (d *Dispatcher) takePlace(id string, now time.Duration) admission.Place {
	place := d.history.TakePlace(id, now)
	if place.Turn != admission.TurnNew {
		d.metrics.returns.Inc(place.Turn.String())
	}
	return place
}

// backlogFor returns the backlog of the job's priority and the higher ones.
func (d *Dispatcher) backlogFor(job *activeJob, now time.Duration) admission.Backlog {
	b := d.backlog(job.Service, now)
	b.AgentWork = d.agentWork(job.waitKey(), now)
	for _, other := range d.queue {
		if other != job && other.Service == job.Service && other.Kind.GetPriority() <= job.Kind.GetPriority() {
			b.QueuedWork += other.pendingWork()
		}
	}
	return b
}

// agentWork returns the expected work of the runs of other entries that wait at
// agents, up to a priority. Those of this entry are in its backlog. Agents report only the capacity that these runs
// need, so they are assumed to take as long as this entry's runs of the service.
func (d *Dispatcher) agentWork(key waitKey, now time.Duration) float64 {
	waiting, expected, runs := int64(0), time.Duration(0), 0
	for _, l := range d.linksOf(key.service) {
		own := int64(0)
		for _, r := range l.runs {
			expected += r.expected
			runs++
			if r.isWaiting() && r.activeJob.Kind.GetPriority() <= key.priority {
				own += r.need.CPUMillis
			}
		}
		if l.evacuated || !l.reported.GetAccepting() || !l.isPresent(now) {
			continue
		}
		atAgent := int64(0)
		for _, w := range l.reported.GetWaiting() {
			if w.GetPriority() <= key.priority {
				atAgent += w.GetCpuMillis()
			}
		}
		waiting += max(atAgent-own, 0)
	}
	if runs == 0 {
		expected, runs = defaultEstimate, 1
	}
	return float64(waiting) * float64(expected) / float64(runs)
}
