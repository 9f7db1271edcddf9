package placement

// WatchLimits bound how many agents of a large fleet an entry watches.
type WatchLimits struct {
	// All is the number of agents up to which an entry watches all of them.
	All int
	// Busy and Idle are how many agents of a service are watched at least, with
	// and without recent jobs of the service.
	Busy, Idle int
	// Pressed is how many suitable agents are watched at most because those
	// watched before had no room.
	Pressed int
}

// Watchable is an agent that an entry may watch.
type Watchable struct {
	// Service of the agent's worker; empty if it is not known. The agents of which
	// it is not known count as those of one service.
	Service string
	// Usable is set if the worker took runs when the agent last answered.
	Usable bool
	// Excluded is set if the worker will take no runs until an operator's call: it
	// does not make up the number where there are too few usable ones.
	Excluded bool
	// Required is set if the agent must be watched.
	Required bool
}

// WatchSet reports for each agent whether to watch it: those that are required,
// and of each service the first usable ones up to the limit, or others where
// there are not as many. agents are in the entry's order of preference; entries
// with different orders spread over the fleet. busy reports whether a service had
// jobs recently.
func WatchSet(agents []Watchable, limits WatchLimits, busy func(service string) bool) []bool {
	watched := make([]bool, len(agents))
	left := map[string]int{}
	for i, a := range agents {
		watched[i] = a.Required || len(agents) <= limits.All
		if _, known := left[a.Service]; !known {
			left[a.Service] = limits.of(busy(a.Service))
		}
	}
	for _, usable := range []bool{true, false} {
		for i, a := range agents {
			if a.Usable == usable && !a.Excluded && left[a.Service] > 0 {
				watched[i] = true
				left[a.Service]--
			}
		}
	}
	return watched
}

// of returns the limit of a service.
func (l WatchLimits) of(busy bool) int {
	if busy {
		return l.Busy
	}
	return l.Idle
}
