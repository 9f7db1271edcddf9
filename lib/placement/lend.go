package placement

import "skylarklane.example/lib/wire"

// Urgencies is the number of urgency levels.
const Urgencies = int(wire.Urgency_URGENCY_URGENT) + 1

// Demand is the tokens that an entry has for one service and the tasks that need
// one.
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

// Shortage describes an entry that lacks tokens for tasks of one urgency.
type Shortage struct {
	// Held counts its tokens, all of them in use.
	Held    int
	Urgency wire.Urgency
	// Queued counts its waiting tasks of that urgency.
	Queued int
}

// lendDivisor keeps two entries that both lack tokens from passing single ones
// back and forth: if both have tasks of the same urgency, fewer tokens than
// 1/lendDivisor of all that the two hold are not transferred.
const lendDivisor = 16

// Lend returns how many idle tokens an entry transfers to one with a shortage.
// More urgent tasks have priority, whichever entry they wait at. If both entries
// have tasks of the same urgency, the tokens are shared in proportion to what each
// needs.
func Lend(own Demand, shortage Shortage) int {
	sameUrgency := own.Queued[shortage.Urgency]
	free := own.Idle - own.atLeast(shortage.Urgency) + sameUrgency
	if free <= 0 {
		return 0
	}
	if sameUrgency == 0 || free >= sameUrgency+shortage.Queued {
		return min(free, shortage.Queued)
	}
	total := own.Held + shortage.Held
	ownNeed := own.Held - own.Idle + own.atLeast(shortage.Urgency)
	totalNeed := ownNeed + shortage.Held + shortage.Queued
	fairShare := (total*ownNeed + totalNeed - 1) / totalNeed
	surplus := min(own.Held-fairShare, free, shortage.Queued)
	if surplus*lendDivisor < total {
		return 0
	}
	return surplus
}
