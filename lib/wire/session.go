package wire

import "time"

const (
	// SessionLength is how long an entry's session at an agent lasts after the
	// call that renewed it.
	SessionLength = 800 * time.Millisecond
	// RunGrace is how long after the end of a session its runs may last, if
	// their agent is lost too.
	RunGrace = 500 * time.Millisecond
	// LeaseAhead is how far ahead an agent holds its worker's lease, at most.
	LeaseAhead = time.Second
)
