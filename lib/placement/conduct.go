package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// failureWeight is the weight of the newest run in the failure rate.
	failureWeight = 0.2
	// ejectRate is the failure rate from which a worker is ejected.
	ejectRate = 0.35
	// ejectOver is how far above the usual rate that must be.
	ejectOver = 2.5
	// shortestEjection is the time of a first ejection, doubled each time.
	shortestEjection = time.Second
	// longestEjection bounds it.
	longestEjection = 10 * time.Second
	// jobsRemembered is how many failed jobs a conduct keeps apart.
	jobsRemembered = 4
)

// Conduct is how the runs at a leased worker have ended lately. The zero value
// is of a worker without runs.
type Conduct struct {
	// Rate is the part of the runs that failed, newer ones weighing more.
	Rate float64
	// Ejections in a row.
	Ejections int
	// Until is when an ejected worker may be tried by one task, in the time of
	// the entry's clock; 0 if it is not ejected.
	Until time.Duration
	// Trial is set while such a task runs.
	Trial bool
	jobs  [jobsRemembered]string
	next  int
}

// WithDone returns the conduct after a task that was done.
func (c Conduct) WithDone() Conduct {
	c.Rate -= failureWeight * c.Rate
	if c.Trial {
		c.Trial, c.Until, c.Rate = false, 0, ejectRate/2
		return c
	}
	if c.Rate < ejectRate/4 {
		c.Ejections = 0
	}
	return c
}

// WithFailure returns the conduct after a failed task of a job. Tasks of one
// job count once, since the fault may be the job's. usual is the rate of the
// other workers.
func (c Conduct) WithFailure(job string, usual float64, now time.Duration) Conduct {
	if c.Trial {
		return c.ejected(now)
	}
	if slices.Contains(c.jobs[:], job) {
		return c
	}
	c.jobs[c.next] = job
	c.next = (c.next + 1) % jobsRemembered
	c.Rate += failureWeight * (1 - c.Rate)
	if c.Until == 0 && c.Rate >= ejectRate && c.Rate >= ejectOver*usual {
		return c.ejected(now)
	}
	return c
}

// WithTrial returns the conduct after a trial was begun.
func (c Conduct) WithTrial() Conduct {
	c.Trial = true
	return c
}

// WithoutTrial returns the conduct after a trial that told nothing.
func (c Conduct) WithoutTrial() Conduct {
	c.Trial = false
	return c
}

// Ejected tells whether the worker gets no work but trials.
func (c Conduct) Ejected() bool { return c.Until != 0 }

func (c Conduct) ejected(now time.Duration) Conduct {
	wait := shortestEjection << min(c.Ejections, 4)
	c.Ejections++
	c.Trial = false
	c.Until = now + min(wait, longestEjection)
	return c
}

// Barred tells which workers get no task now: ejected ones that are not due
// for a trial, but at most half of all, those that fail most.
func Barred(conducts []Conduct, now time.Duration) []bool {
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
		barred[i] = c.Trial || now < c.Until
	}
	return barred
}
