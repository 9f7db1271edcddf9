package placement

// Demand is what an entry has and needs of one service.
type Demand struct {
	// Held are its tokens, in use or not.
	Held int
	// Idle are those not in use.
	Idle int
	// Queued are tasks that wait for a token.
	Queued int
}

// lendPart keeps entries that are both short from passing single tokens to
// and fro: less than this part of their tokens is not worth a message.
const lendPart = 16

// Lend returns how many idle tokens an entry passes to another one that lacks
// some. Where there is not enough for both, each gets a share by its need.
func Lend(own, other Demand) int {
	total := own.Held + other.Held
	ownNeed := own.Held - own.Idle + own.Queued
	otherNeed := other.Held - other.Idle + other.Queued
	if ownNeed+otherNeed <= total {
		return max(0, min(own.Idle-own.Queued, other.Queued-other.Idle))
	}
	fair := (total*ownNeed + ownNeed + otherNeed - 1) / (ownNeed + otherNeed)
	surplus := min(own.Held-fair, own.Idle, other.Queued-other.Idle)
	if surplus*lendPart < total && own.Queued > 0 {
		return 0
	}
	return max(0, surplus)
}
