package placement

import "time"

// worthlessFactor is the multiple of the target completion time after which the
// result of a job is worthless.
const worthlessFactor = 3

// Objective is the target completion time of a job (Due) and the time after
// which its result is worthless (WorthlessAfter). Both are relative to the job's
// arrival; 0 means none.
type Objective struct {
	Due            time.Duration
	WorthlessAfter time.Duration
}

// NewObjective returns the objective of a job with the given ideal run time: it
// is due after stretch times that plus slack. Without stretch there is none.
func NewObjective(ideal time.Duration, stretch float64, slack time.Duration) Objective {
	if stretch <= 0 {
		return Objective{}
	}
	due := scale(ideal, stretch) + slack
	return Objective{Due: due, WorthlessAfter: worthlessFactor * due}
}
