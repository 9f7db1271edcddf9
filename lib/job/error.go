package job

// Kind classifies the errors of this package.
type Kind int

// KindUnanswered means that an entry has not answered.
const KindUnanswered Kind = 1

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
