package lease

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindAnnouncement means that an announcement lacks a required field or has
	// a value out of range.
	KindAnnouncement Kind = iota + 1
	// KindShutdown means that runs had not ended when the context of Shutdown
	// ended.
	KindShutdown
	// KindUnnamed means that a call was not made, as the connection has not named
	// the worker's incarnation.
	KindUnnamed
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
