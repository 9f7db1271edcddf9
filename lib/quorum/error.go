package quorum

import "github.com/rotisserie/eris"

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindNotLeader means that this host cannot vouch for what it knows.
	// Nothing was done; Leader names the host to ask instead, if known.
	KindNotLeader Kind = iota + 1
	// KindInDoubt means that a command may or may not be carried out.
	KindInDoubt
	// KindStopped means that the node does not run.
	KindStopped
	// KindStorage means that the folder cannot be written to. The node stops:
	// what reached the disk is unknown.
	KindStorage
	// KindCorrupt means that the folder holds what was never written so.
	KindCorrupt
	// KindForeign means that the folder is another host's or group's, or that
	// another one has taken its place.
	KindForeign
	// KindReplaced means that the group has gone on without the folder: it may be
	// made new.
	KindReplaced
	// KindBusy means that a change of the membership is under way.
	KindBusy
	// KindMember means that a host to add is there, or one to remove is not.
	KindMember
)

// Error is an error of this package.
type Error struct {
	Op     string
	Kind   Kind
	Leader string
	// Address of that leader in the group's membership.
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func corrupt(file, format string, args ...any) *Error {
	return &Error{
		Op:   "open",
		Kind: KindCorrupt,
		Err:  eris.Wrapf(eris.Errorf(format, args...), "file %s is damaged; empty the data folder to have this host readmitted", file),
	}
}

func storage(op string, err error) *Error {
	return &Error{Op: op, Kind: KindStorage, Err: eris.Wrap(err, "the data folder cannot be written; this host stops")}
}
