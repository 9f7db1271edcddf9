package placement

import "time"

// Load is the work before a job.
type Load struct {
	// Slots that serve it.
	Slots int
	// Queued is the expected run time of all tasks ahead.
	Queued time.Duration
	// Running is the expected run time left of the tasks that run.
	Running time.Duration
}

// Finish returns the time until a job is expected to be done, whose tasks take
// total together and longest at least.
func Finish(load Load, total, longest time.Duration) time.Duration {
	if load.Slots <= 0 {
		return longest
	}
	slots := time.Duration(load.Slots)
	wait := (load.Queued + load.Running) / slots
	return wait + max(longest, total/slots)
}
