package placement

import "time"

const (
	// ejectAfter failed jobs in a row end the work for a backend server.
	ejectAfter = 2
	// firstTrial is the time until the first trial, doubled with each failure.
	firstTrial = 5 * time.Second
	// lastTrial bounds the time between trials.
	lastTrial = 2 * time.Minute
)

// Health is how a backend server has done lately. The zero value is healthy.
type Health struct {
	// Failed jobs in a row.
	Failed int
	// TrialAt is when an ejected server may be tried again.
	TrialAt time.Time
	lastJob string
}

// WithSuccess returns the health after a task that was done.
func (h Health) WithSuccess() Health { return Health{} }

// WithFailure returns the health after a failed task of a job. Several tasks
// of one job count once: the fault may be the job's.
func (h Health) WithFailure(job string, now time.Time) Health {
	if h.lastJob == job {
		return h
	}
	h.Failed++
	h.lastJob = job
	return h.withTrial(now)
}

// WithUnreachable returns the health of a server that its agent can't reach: it
// gets no work until a trial.
func (h Health) WithUnreachable(now time.Time) Health {
	h.Failed = max(h.Failed+1, ejectAfter)
	return h.withTrial(now)
}

// WithTrial returns the health after a trial has begun.
func (h Health) WithTrial(now time.Time) Health { return h.withTrial(now) }

// Ejected tells whether the server failed too much to get work.
func (h Health) Ejected() bool { return h.Failed >= ejectAfter }

// MayTry tells whether the server may get a task at now.
func (h Health) MayTry(now time.Time) bool {
	return !h.Ejected() || !now.Before(h.TrialAt)
}

func (h Health) withTrial(now time.Time) Health {
	wait := firstTrial << min(max(h.Failed-ejectAfter, 0), 6)
	h.TrialAt = now.Add(min(wait, lastTrial))
	return h
}
