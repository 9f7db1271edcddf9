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
	holder entryID
	// until is the end of the lease, including leaseMargin.
	until time.Time
	// since is when the slot was last leased.
	since time.Time
	// closing marks a slot that is removed when its task ends.
	closing bool
	// queued marks a slot that is busy with a task from the queue, started
	// without a token.
	queued bool
}

// entryID identifies an entry incarnation; it is usable as a map key.
type entryID struct {
	id     string
	number uint64
}

func idOf(inc *wire.Incarnation) entryID {
	return entryID{id: inc.GetId(), number: inc.GetNumber()}
}
