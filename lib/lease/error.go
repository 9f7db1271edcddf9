package lease

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindAnnouncement means that an announcement does not describe a usable
	// worker.
	KindAnnouncement Kind = iota + 1
	// KindShutdown means that runs were still open when the time for the
	// shutdown was over.
	KindShutdown
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
