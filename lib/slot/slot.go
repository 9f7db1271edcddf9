package slot

import (
	"time"

	"skylarklane.example/lib/wire"
)

// state is what a slot is doing.
type state int

const (
	free state = iota
	leased
	busy
)

// slot is one place to run a task at a backend server.
type slot struct {
	server  string
	service string
	state   state
	// number of the token, 0 while free.
	number uint64
	holder entryID
	// until is the end of the lease, margin included.
	until time.Time
	// since is when the slot was last leased.
	since time.Time
	// closing slots are dropped with the end of their task.
	closing bool
	// queued slots are busy with a start that had no token.
	queued bool
}

// entryID names an entry incarnation as a map key.
type entryID struct {
	id     string
	number uint64
}

func idOf(who *wire.Incarnation) entryID {
	return entryID{id: who.GetId(), number: who.GetNumber()}
}
