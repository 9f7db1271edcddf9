package slot

import (
	"time"

	"skylarklane.example/lib/wire"
)

// state is the state of a slot.
type state int

const (
	free state = iota
	leased
	busy
)

// slot is the capacity to run one task at a backend server.
type slot struct {
	server  string
	service string
	state   state
	// number is the number of the slot's token, 0 while the slot is free.
	number uint64
	// holder is the entry that leases or uses the slot; it is empty once that
	// entry is no longer a member.
	holder entryID
	// leasedUntil is the end of the lease, including leaseMargin.
	leasedUntil time.Time
	// leasedAt is when the slot was last leased.
	leasedAt time.Time
	// closing is set on a slot that is to be removed once it isn't busy.
	closing bool
	// queued is set on a slot that is busy with a task from the queue, which
	// was started without a token.
	queued bool
}

// entryID identifies an incarnation of an entry; it is usable as a map key.
type entryID struct {
	id     string
	number uint64
}

func idOf(inc *wire.Incarnation) entryID {
	return entryID{id: inc.GetId(), number: inc.GetNumber()}
}
