package placement

import "time"

const (
	// minLag is the lag up to which an entry counts as having time to spare. Timers
	// of a process that is not short of processor time fire within it.
	minLag = 2 * time.Millisecond
	// lagFactor is how many times its lag an entry waits for reports of changed
	// capacity: each costs it a call, and it can't use more of them than it has time
	// for.
	lagFactor = 16
)

// StateDelay returns how long an entry lets agents wait with reports that only tell
// a changed capacity, at most longest. lag is by how much the entry's timers have
// been late lately. Without processor time to spare, an entry that gets each report
// at once has none left for its jobs: its launches time out, and are halted.
func StateDelay(lag, longest time.Duration) time.Duration {
	if lag <= minLag {
		return 0
	}
	return min(lagFactor*lag, longest)
}
