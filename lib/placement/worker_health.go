package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failureWeight is the weight of the latest run in the failure rate.
	failureWeight = 0.2
	// ejectRate is the failure rate at which a worker is ejected.
	ejectRate = 0.35
	// ejectRatio is how many times the failure rate of the other workers a
	// worker's rate must also be for an ejection.
	ejectRatio = 2.5
	// minEjection is the duration of the first ejection; each further one in a
	// row doubles it.
	minEjection = time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = 10 * time.Second
	// failedJobsKept is the number of latest failed jobs that are kept, so that
	// each is counted once.
	failedJobsKept = 4
)

// WorkerHealth is the recent failure record of a worker that an entry leases. The
// zero value has no runs.
type WorkerHealth struct {
	// Rate is the moving average of failures, from 0 to 1.
	Rate float64
	// Ejections counts the ejections in a row.
	Ejections int
	// EjectedUntil is when an ejected worker may get a trial task, on the entry's
	// clock; 0 if it is not ejected.
	EjectedUntil time.Duration
	// Trial is set while a trial task runs.
	Trial bool
	// jobs is a ring of the latest failed jobs; next is the index to write.
	jobs [failedJobsKept]string
	next int
}

// WithSuccess returns the health after a successful task.
func (h WorkerHealth) WithSuccess() WorkerHealth {
	h.Rate -= failureWeight * h.Rate
	if h.Trial {
		h.Trial, h.EjectedUntil, h.Rate = false, 0, ejectRate/2
		return h
	}
	if h.Rate < ejectRate/4 {
		h.Ejections = 0
	}
	return h
}

// WithFailure returns the health after a failed task of a job. Several failed
// tasks of one job count once, since the job may be at fault. othersRate is the
// failure rate of the other workers.
func (h WorkerHealth) WithFailure(job string, othersRate float64, now time.Duration) WorkerHealth {
	if h.Trial {
		return h.ejected(now)
	}
	if slices.Contains(h.jobs[:], job) {
		return h
	}
	h.jobs[h.next] = job
	h.next = (h.next + 1) % failedJobsKept
	h.Rate += failureWeight * (1 - h.Rate)
	if h.EjectedUntil == 0 && h.Rate >= ejectRate && h.Rate >= ejectRatio*othersRate {
		return h.ejected(now)
	}
	return h
}

// WithTrial returns the health after a trial has started.
func (h WorkerHealth) WithTrial() WorkerHealth {
	h.Trial = true
	return h
}

// WithoutTrial returns the health after a trial without a conclusive result.
func (h WorkerHealth) WithoutTrial() WorkerHealth {
	h.Trial = false
	return h
}

// Ejected reports whether the worker gets only trial tasks.
func (h WorkerHealth) Ejected() bool { return h.EjectedUntil != 0 }

// ejected returns the health after an ejection.
func (h WorkerHealth) ejected(now time.Duration) WorkerHealth {
	wait := minEjection << min(h.Ejections, 4)
	h.Ejections++
	h.Trial = false
	h.EjectedUntil = now + min(wait, maxEjection)
	return h
}

// Blocked reports for each worker whether it must not get a task now because it
// is ejected and not due for a trial. At most half of the workers are blocked,
// those with the highest failure rates.
func Blocked(workers []WorkerHealth, now time.Duration) []bool {
	blocked := make([]bool, len(workers))
	var ejected []int
	for i, w := range workers {
		if w.Ejected() {
			ejected = append(ejected, i)
		}
	}
	slices.SortStableFunc(ejected, func(a, b int) int { return cmp.Compare(workers[b].Rate, workers[a].Rate) })
	for _, i := range ejected[:min(len(ejected), len(workers)/2)] {
		w := workers[i]
		blocked[i] = w.Trial || now < w.EjectedUntil
	}
	return blocked
}
