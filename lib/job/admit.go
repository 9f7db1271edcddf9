package job

import (
	"context"
	"slices"
	"time"

	"skylarklane.example/lib/placement"
)

const (
	// retryAfter is when a caller should come back if nothing better is
	// known.
	retryAfter = 500 * time.Millisecond
	// attemptRetention is how long the attempt numbers of an ended job are
	// remembered.
	attemptRetention = 30 * time.Second
	// knownWorkerRetention is how long a worker that has left still counts when deciding
	// whether a task can ever fit.
	knownWorkerRetention = time.Minute
)

// knownWorker describes a worker of a service and when it was last present.
type knownWorker struct {
	placement.Candidate
	at time.Duration
}

func (s knownWorker) like(other knownWorker) bool {
	return s.Capacity == other.Capacity && slices.Equal(s.Labels, other.Labels)
}

// lastAttempt is the highest attempt number of the tasks of an ended job.
type lastAttempt struct {
	attempt uint32
	at      time.Duration
}

// admit accepts a job, or returns why not. An earlier job with the same ID is
// stopped first, and the new one waits until its runs have ended.
func (d *Dispatcher) admit(ctx context.Context, j Job) (*workItem, Outcome) {
	for {
		w, earlier, refused := d.tryAdmit(j)
		if earlier == nil {
			return w, refused
		}
		select {
		case <-earlier.settled:
		case <-ctx.Done():
			d.mu.Lock()
			defer d.mu.Unlock()
			return nil, d.refuseJob(j, reasonCallerLeft)
		}
	}
}

// tryAdmit accepts a job unless an earlier one with its ID still has runs.
func (d *Dispatcher) tryAdmit(j Job) (w, earlier *workItem, refused Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if earlier := d.jobs[j.ID]; earlier != nil {
		if earlier.durable != nil {
			return nil, nil, d.refuseJob(j, reasonKept)
		}
		d.finish(earlier, d.stoppedOutcome(earlier, reasonSentAgain))
		return nil, earlier, Outcome{}
	}
	if d.shuttingDown {
		return nil, nil, d.refuseJob(j, reasonLeaving)
	}
	if !j.valid() {
		d.metrics.refusal(reasonInvalid)
		return nil, nil, Outcome{State: Failed, Reason: reasonInvalid}
	}
	return d.accept(j), nil, Outcome{}
}

// accept takes on a job: it is placed, queued or given up.
func (d *Dispatcher) accept(j Job) *workItem {
	now := d.clock.Now()
	w := newWorkItem(j, d.kindOf(j), now, d.attempts[j.ID].attempt)
	d.register(w, now)
	if d.neverFits(w) {
		d.finish(w, Outcome{State: Failed, Reason: reasonNeverFits})
		return w
	}
	d.enqueue(w)
	d.place(now)
	if w.queued && w.liveRuns == 0 {
		d.giveUpIfHopeless(w, now)
	}
	return w
}

// register adds a new job, with its position in the queue order and its
// expected times.
func (d *Dispatcher) register(w *workItem, now time.Duration) {
	d.sequence++
	w.sequence = d.sequence
	w.count(d.capacityOf(w.Service))
	factors := d.factorsOf(w.Service, now)
	w.best = placement.BestFactor(factors)
	w.least = w.remaining()
	w.ideal = time.Duration(float64(w.kindStats.expected(w.chain())) * placement.MeanFactor(factors))
	w.objective = placement.NewObjective(w.ideal, w.Kind.GetStretch(), time.Duration(w.Kind.GetSlackMillis())*time.Millisecond)
	d.jobs[w.ID] = w
	d.logReceived(w)
	d.recordWorkers(now)
}

// giveUpIfHopeless gives up a new job that found no capacity and is unlikely
// to get any in time.
func (d *Dispatcher) giveUpIfHopeless(w *workItem, now time.Duration) {
	if d.queuedBestEffort() > d.cfg.MaxQueued {
		d.giveUp(w, reasonQueueFull)
		return
	}
	b := d.backlog(w.Service, now)
	for _, other := range d.queue {
		if other == w {
			break
		}
		if other.Service == w.Service {
			b.QueuedWork += other.size()
		}
	}
	if w.isHopeless(b, d.delays[w.delayKey()].value(now), now) {
		d.giveUp(w, reasonHopeless)
	}
}

// refuseJob returns the outcome of a job that was never accepted. The caller
// holds mu.
func (d *Dispatcher) refuseJob(j Job, reason string) Outcome {
	d.metrics.refusal(reason)
	d.logRefused(j, reason)
	return Outcome{State: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// factorsOf returns the speed factors of a service's workers.
func (d *Dispatcher) factorsOf(service string, now time.Duration) []float64 {
	var factors []float64
	for _, l := range d.serving(service) {
		factors = append(factors, l.speed.value(now))
	}
	return factors
}

// neverFits reports whether a step needs more than any worker of the service
// has, or had recently. It reports false until all agents are known.
func (d *Dispatcher) neverFits(w *workItem) bool {
	for _, l := range d.links {
		if !l.unlisted && !l.hasState() {
			return false
		}
	}
	if len(d.knownWorkers[w.Service]) == 0 {
		return false
	}
	for _, s := range w.steps {
		if !d.fitsSomewhere(w, s) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) fitsSomewhere(w *workItem, s *step) bool {
	wish := placement.Requirements{Need: s.need, Label: s.Label}
	return slices.ContainsFunc(d.knownWorkers[w.Service], func(one knownWorker) bool { return wish.Suits(one.Candidate) })
}

// recordWorkers records the shapes of the present workers, and drops those
// that left longer ago than knownWorkerRetention.
func (d *Dispatcher) recordWorkers(now time.Duration) {
	for _, l := range d.links {
		if l.hasState() && !l.unlisted {
			d.see(l.word.GetService(), knownWorker{placement.Candidate{Capacity: l.capacity, Labels: l.word.GetLabels()}, now})
		}
	}
	for service, workers := range d.knownWorkers {
		d.knownWorkers[service] = slices.DeleteFunc(workers, func(one knownWorker) bool { return now-one.at > knownWorkerRetention })
	}
}

// see records one worker; equivalent ones are recorded once.
func (d *Dispatcher) see(service string, worker knownWorker) {
	i := slices.IndexFunc(d.knownWorkers[service], worker.like)
	if i < 0 {
		d.knownWorkers[service] = append(d.knownWorkers[service], worker)
		return
	}
	d.knownWorkers[service][i].at = worker.at
}
