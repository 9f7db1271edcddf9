package cmd

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindUsage means that an experiment or a flag is wrong.
	KindUsage Kind = iota + 1
	// KindBroken means that the system broke one of its guarantees.
	KindBroken
	// KindMissed means that a target was missed.
	KindMissed
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
