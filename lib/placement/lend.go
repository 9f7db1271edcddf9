package placement

import "skylarklane.example/lib/wire"

// Urgencies is the number of urgency levels.
const Urgencies = int(wire.Urgency_URGENCY_URGENT) + 1

// Demand is what an entry holds and needs of one service.
type Demand struct {
	// Held counts its tokens, idle or in use.
	Held int
	// Idle counts the tokens not in use.
	Idle int
	// Queued counts the tasks that wait for a token, by urgency.
	Queued [Urgencies]int
}

// atLeast returns the number of queued tasks of at least the given urgency.
func (d Demand) atLeast(urgency wire.Urgency) int {
	sum := 0
	for _, n := range d.Queued[urgency:] {
		sum += n
	}
	return sum
}

// Shortage is what another entry lacks for tasks of one urgency.
type Shortage struct {
	// Held counts its tokens, all of them in use.
	Held    int
	Urgency wire.Urgency
	// Queued counts its waiting tasks of that urgency.
	Queued int
}

// lendDivisor keeps entries that are both short of tokens from passing single
// ones back and forth: if both have tasks of the same urgency, a transfer of
// less than 1/lendDivisor of their tokens is not worth a message.
const lendDivisor = 16

// Lend returns how many idle tokens an entry transfers to one with a shortage.
// Urgent tasks have priority, whichever entry they wait at. If both entries
// have tasks of the same urgency, the tokens are shared in proportion to need.
func Lend(own Demand, ask Shortage) int {
	same := own.Queued[ask.Urgency]
	free := own.Idle - own.atLeast(ask.Urgency) + same
	if free <= 0 {
		return 0
	}
	if same == 0 || free >= same+ask.Queued {
		return min(free, ask.Queued)
	}
	total := own.Held + ask.Held
	ownNeed := own.Held - own.Idle + own.atLeast(ask.Urgency)
	need := ownNeed + ask.Held + ask.Queued
	fair := (total*ownNeed + need - 1) / need
	surplus := min(own.Held-fair, free, ask.Queued)
	if surplus*lendDivisor < total {
		return 0
	}
	return surplus
}
