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
	// ejectRatio is how many times the usual rate the failure rate must also
	// reach.
	ejectRatio = 2.5
	// minEjection is the duration of the first ejection; each further one in a
	// row doubles it.
	minEjection = time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = 10 * time.Second
	// failedJobsKept is the number of failed jobs that are remembered, to count
	// each once.
	failedJobsKept = 4
)

// WorkerHealth is the recent failure record of a leased worker. The zero value has
// no runs.
type WorkerHealth struct {
	// Rate is the moving average of failures, from 0 to 1.
	Rate float64
	// Ejections in a row.
	Ejections int
	// EjectedUntil is when an ejected worker may get a trial task, on the entry's
	// clock; 0 if it is not ejected.
	EjectedUntil time.Duration
	// Trial is set while a trial task runs.
	Trial bool
	jobs  [failedJobsKept]string
	next  int
}

// WithSuccess returns the conduct after a successful task.
func (c WorkerHealth) WithSuccess() WorkerHealth {
	c.Rate -= failureWeight * c.Rate
	if c.Trial {
		c.Trial, c.EjectedUntil, c.Rate = false, 0, ejectRate/2
		return c
	}
	if c.Rate < ejectRate/4 {
		c.Ejections = 0
	}
	return c
}

// WithFailure returns the conduct after a failed task of a job. Several failed
// tasks of one job count once, since the job may be at fault. usual is the
// failure rate of the other workers.
func (c WorkerHealth) WithFailure(job string, usual float64, now time.Duration) WorkerHealth {
	if c.Trial {
		return c.ejected(now)
	}
	if slices.Contains(c.jobs[:], job) {
		return c
	}
	c.jobs[c.next] = job
	c.next = (c.next + 1) % failedJobsKept
	c.Rate += failureWeight * (1 - c.Rate)
	if c.EjectedUntil == 0 && c.Rate >= ejectRate && c.Rate >= ejectRatio*usual {
		return c.ejected(now)
	}
	return c
}

// WithTrial returns the conduct after a trial has started.
func (c WorkerHealth) WithTrial() WorkerHealth {
	c.Trial = true
	return c
}

// WithoutTrial returns the conduct after a trial without a conclusive result.
func (c WorkerHealth) WithoutTrial() WorkerHealth {
	c.Trial = false
	return c
}

// Ejected reports whether the worker gets only trial tasks.
func (c WorkerHealth) Ejected() bool { return c.EjectedUntil != 0 }

func (c WorkerHealth) ejected(now time.Duration) WorkerHealth {
	wait := minEjection << min(c.Ejections, 4)
	c.Ejections++
	c.Trial = false
	c.EjectedUntil = now + min(wait, maxEjection)
	return c
}

// Blocked reports for each worker whether it gets no task now: it is ejected and
// not due for a trial. At most half of the workers are barred, those with the
// highest failure rates.
func Blocked(conducts []WorkerHealth, now time.Duration) []bool {
	barred := make([]bool, len(conducts))
	var ejected []int
	for i, c := range conducts {
		if c.Ejected() {
			ejected = append(ejected, i)
		}
	}
	slices.SortStableFunc(ejected, func(a, b int) int { return cmp.Compare(conducts[b].Rate, conducts[a].Rate) })
	for _, i := range ejected[:min(len(ejected), len(conducts)/2)] {
		c := conducts[i]
		barred[i] = c.Trial || now < c.EjectedUntil
	}
	return barred
}
