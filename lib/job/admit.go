package job

import (
	"context"
	"slices"
	"time"

	"skylarklane.example/lib/placement"
)

const (
	// retryAfter is when to come back where nothing better is known.
	retryAfter = 500 * time.Millisecond
	// attemptsKept is how long attempt numbers of an ended job are remembered.
	attemptsKept = 30 * time.Second
	// seenKept is how long a worker that went is still reckoned with.
	seenKept = time.Minute
)

// seenWorker is what a worker of a service was like, and when it was there
// last.
type seenWorker struct {
	placement.Candidate
	at time.Duration
}

func (s seenWorker) like(other seenWorker) bool {
	return s.Capacity == other.Capacity && slices.Equal(s.Labels, other.Labels)
}

// attemptMark is the highest attempt of the tasks of an ended job.
type attemptMark struct {
	attempt uint32
	at      time.Duration
}

// admit takes a job in hand, or returns why not. An earlier job of the same ID
// is stopped first, and this one waits until its runs have ended.
func (d *Desk) admit(ctx context.Context, j Job) (*work, Outcome) {
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
			return nil, d.refuse(j, reasonCallerLeft)
		}
	}
}

// tryAdmit takes a job in hand unless an earlier one of its ID is still there.
func (d *Desk) tryAdmit(j Job) (w, earlier *work, refused Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if earlier := d.jobs[j.ID]; earlier != nil {
		d.finish(earlier, d.stopped(earlier, reasonSentAgain))
		return nil, earlier, Outcome{}
	}
	if d.leaving {
		return nil, nil, d.refuse(j, reasonLeaving)
	}
	if !j.valid() {
		d.metrics.refusal(reasonInvalid)
		return nil, nil, Outcome{State: Failed, Reason: reasonInvalid}
	}
	return d.take(j), nil, Outcome{}
}

// take takes a job in hand: it is placed, queued or given up.
func (d *Desk) take(j Job) *work {
	now := d.clock.Now()
	w := newWork(j, d.kindOf(j), now, d.attempts[j.ID].attempt)
	d.sequence++
	w.sequence = d.sequence
	w.count(d.capacityOf(j.Service))
	factors := d.factorsOf(j.Service, now)
	w.best = placement.Best(factors)
	w.least = w.remaining()
	w.ideal = time.Duration(float64(w.kind.expected(w.chain())) * placement.Usual(factors))
	w.objective = placement.ObjectiveOf(w.ideal, j.Kind.GetStretch(), time.Duration(j.Kind.GetSlackMillis())*time.Millisecond)
	d.jobs[j.ID] = w
	d.noteReceived(w)
	d.noteSeen(now)
	if d.neverFits(w) {
		d.finish(w, Outcome{State: Failed, Reason: reasonNeverFits})
		return w
	}
	d.enqueue(w)
	d.place(now)
	if w.queued && w.live == 0 {
		d.mayWait(w, now)
	}
	return w
}

// mayWait gives up a new job that found no room and will hardly get any.
func (d *Desk) mayWait(w *work, now time.Duration) {
	if len(d.queue) > d.cfg.MaxQueued {
		d.giveUp(w, reasonQueueFull)
		return
	}
	b := d.backlog(w.Service, now)
	for _, other := range d.queue {
		if other == w {
			break
		}
		if other.Service == w.Service {
			b.Ahead += other.size()
		}
	}
	if w.hopeless(b, d.delays[w.delayKey()].value(now), now) {
		d.giveUp(w, reasonHopeless)
	}
}

// refuse is the outcome of a job that was never taken in hand. The lock is held.
func (d *Desk) refuse(j Job, reason string) Outcome {
	d.metrics.refusal(reason)
	d.noteRefused(j, reason)
	return Outcome{State: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// factorsOf are the speeds of a service's workers.
func (d *Desk) factorsOf(service string, now time.Duration) []float64 {
	var factors []float64
	for _, l := range d.serving(service) {
		factors = append(factors, l.speed.value(now))
	}
	return factors
}

// neverFits tells whether a step needs more than any worker of the service has
// or had lately, where all agents are known.
func (d *Desk) neverFits(w *work) bool {
	for _, l := range d.links {
		if !l.gone && !l.watching() {
			return false
		}
	}
	if len(d.seen[w.Service]) == 0 {
		return false
	}
	for _, s := range w.steps {
		if !d.fitsSomewhere(w, s) {
			return true
		}
	}
	return false
}

func (d *Desk) fitsSomewhere(w *work, s *step) bool {
	wish := placement.Wish{Need: s.need, Label: s.Label}
	return slices.ContainsFunc(d.seen[w.Service], func(one seenWorker) bool { return wish.Holds(one.Candidate) })
}

// noteSeen remembers what the workers are like, and forgets those that have
// been away for long.
func (d *Desk) noteSeen(now time.Duration) {
	for _, l := range d.links {
		if l.watching() && !l.gone {
			d.see(l.word.GetService(), seenWorker{placement.Candidate{Capacity: l.capacity, Labels: l.word.GetLabels()}, now})
		}
	}
	for service, workers := range d.seen {
		d.seen[service] = slices.DeleteFunc(workers, func(one seenWorker) bool { return now-one.at > seenKept })
	}
}

// see remembers one worker, once for all that are alike.
func (d *Desk) see(service string, worker seenWorker) {
	i := slices.IndexFunc(d.seen[service], worker.like)
	if i < 0 {
		d.seen[service] = append(d.seen[service], worker)
		return
	}
	d.seen[service][i].at = worker.at
}
