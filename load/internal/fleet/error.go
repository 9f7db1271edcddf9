package fleet

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindProgram means that a program could not be run or ended early.
	KindProgram Kind = iota + 1
	// KindTimeout means that the system did not become ready in time.
	KindTimeout
	// KindSample means that the usage or counters of a process could not be
	// read.
	KindSample
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
