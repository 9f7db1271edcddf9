package placement

import "time"

const (
	// ejectAfter is the number of failed jobs in a row that eject a backend
	// server.
	ejectAfter = 2
	// minTrialDelay is the delay of the first trial; each further failure
	// doubles it.
	minTrialDelay = 5 * time.Second
	// maxTrialDelay bounds the delay between trials.
	maxTrialDelay = 2 * time.Minute
)

// ServerHealth is the recent failure record of a backend server. The zero value
// is healthy.
type ServerHealth struct {
	// Failed counts the failed jobs in a row.
	Failed int
	// TrialAt is when an ejected server may get a trial task.
	TrialAt time.Time
	lastJob string
}

// WithSuccess returns the health after a successful task.
func (h ServerHealth) WithSuccess() ServerHealth { return ServerHealth{} }

// WithFailure returns the health after a failed task of a job. Consecutive
// failures of one job count once, since the job may be at fault.
func (h ServerHealth) WithFailure(job string, now time.Time) ServerHealth {
	if h.lastJob == job {
		return h
	}
	h.Failed++
	h.lastJob = job
	return h.withTrial(now)
}

// WithUnreachable returns the health of a server that its agent cannot reach,
// which is ejected at once.
func (h ServerHealth) WithUnreachable(now time.Time) ServerHealth {
	h.Failed = max(h.Failed+1, ejectAfter)
	return h.withTrial(now)
}

// WithTrial returns the health after a trial has started, with the time of the
// next one.
func (h ServerHealth) WithTrial(now time.Time) ServerHealth { return h.withTrial(now) }

// Ejected reports whether the server gets only trial tasks.
func (h ServerHealth) Ejected() bool { return h.Failed >= ejectAfter }

// MayTry reports whether the server may get a task now.
func (h ServerHealth) MayTry(now time.Time) bool {
	return !h.Ejected() || !now.Before(h.TrialAt)
}

// withTrial returns the health with the time of the next trial.
func (h ServerHealth) withTrial(now time.Time) ServerHealth {
	wait := minTrialDelay << min(max(h.Failed-ejectAfter, 0), 6)
	h.TrialAt = now.Add(min(wait, maxTrialDelay))
	return h
}
