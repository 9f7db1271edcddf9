package wire

import "time"

const (
	// SessionLength is how long an entry's session at an agent lasts after the
	// call that renewed it.
	SessionLength = 800 * time.Millisecond
	// RunGrace is how long the runs of a session may continue after its end if
	// their agent is lost as well.
	RunGrace = 500 * time.Millisecond
	// LeaseAhead is the maximum time ahead for which an agent extends its
	// worker's lease.
	LeaseAhead = time.Second
	// MaxLaunchWait is how long a run may wait at an agent for capacity. Capacity
	// that becomes free elsewhere meanwhile is not used by the run.
	MaxLaunchWait = 100 * time.Millisecond
)

// ReasonClaimed is the reason for which agents don't start a run whose job another entry
// has claimed.
const ReasonClaimed = "claimedElsewhere"
