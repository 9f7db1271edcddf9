package placement

import "time"

// Load is the work that has to be done before a job.
type Load struct {
	// Slots is the number of slots that process it.
	Slots int
	// Queued is the total expected run time of the queued tasks.
	Queued time.Duration
	// Running is the total expected remaining run time of the running tasks.
	Running time.Duration
}

// EstimateFinish returns the expected time until a job has ended. total is the
// sum of its tasks' run times and longest is the longest of them.
func EstimateFinish(load Load, total, longest time.Duration) time.Duration {
	if load.Slots <= 0 {
		return longest
	}
	slots := time.Duration(load.Slots)
	wait := (load.Queued + load.Running) / slots
	return wait + max(longest, total/slots)
}
