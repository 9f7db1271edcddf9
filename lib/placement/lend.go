package placement

import "skylarklane.example/lib/wire"

// Urgencies is the number of urgencies.
const Urgencies = int(wire.Urgency_URGENCY_URGENT) + 1

// Demand is what an entry has and needs of one service.
type Demand struct {
	// Held are its tokens, in use or not.
	Held int
	// Idle are those not in use.
	Idle int
	// Queued are the tasks that wait for a token, by urgency.
	Queued [Urgencies]int
}

// from returns the tasks that wait and are at least as urgent.
func (d Demand) from(urgency wire.Urgency) int {
	sum := 0
	for _, n := range d.Queued[urgency:] {
		sum += n
	}
	return sum
}

// Ask is what another entry lacks for tasks of one urgency.
type Ask struct {
	// Held are the tokens that it has, all of them in use.
	Held    int
	Urgency wire.Urgency
	// Queued are its tasks of that urgency that wait.
	Queued int
}

// lendPart keeps entries that are both short from passing single tokens to
// and fro: less than this part of their tokens is not worth a message.
const lendPart = 16

// Lend returns how many idle tokens an entry passes on for an ask. More urgent
// tasks go first, wherever they wait; where both have tasks of the same
// urgency, each entry gets a share by its need.
func Lend(own Demand, ask Ask) int {
	same := own.Queued[ask.Urgency]
	free := own.Idle - own.from(ask.Urgency) + same
	if free <= 0 {
		return 0
	}
	if same == 0 || free >= same+ask.Queued {
		return min(free, ask.Queued)
	}
	total := own.Held + ask.Held
	ownNeed := own.Held - own.Idle + own.from(ask.Urgency)
	need := ownNeed + ask.Held + ask.Queued
	fair := (total*ownNeed + need - 1) / need
	surplus := min(own.Held-fair, free, ask.Queued)
	if surplus*lendPart < total {
		return 0
	}
	return surplus
}
