package quorum

import "github.com/rotisserie/eris"

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindNotLeader means that this host is not an up-to-date leader. The call
	// had no effect. Leader names the host to call instead, if known.
	KindNotLeader Kind = iota + 1
	// KindInDoubt means that the command may or may not be executed.
	KindInDoubt
	// KindStopped means that the node is not running.
	KindStopped
	// KindStorage means that reading or writing the data folder failed. The
	// node stops, since after a failed write it is unknown what reached the
	// disk.
	KindStorage
	// KindCorrupt means that the data folder holds invalid or contradictory
	// data.
	KindCorrupt
	// KindForeign means that the data folder belongs to another host or group,
	// is in use by another process, or has been replaced.
	KindForeign
	// KindReplaced means that the group no longer includes the data folder, so
	// it may be reset.
	KindReplaced
	// KindBusy means that a membership change is in progress or not possible at
	// the moment.
	KindBusy
	// KindMember means that a host to add is already a member, or that a host
	// to remove is not.
	KindMember
)

// Error is an error of this package.
type Error struct {
	Op     string
	Kind   Kind
	Leader string
	// Address is the leader's address according to the group's membership.
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

func corruptError(file, format string, args ...any) *Error {
	return &Error{
		Op:   "open",
		Kind: KindCorrupt,
		Err:  eris.Wrapf(eris.Errorf(format, args...), "file %s is damaged; empty the data folder to have this host readmitted", file),
	}
}

func storageError(op string, err error) *Error {
	return &Error{Op: op, Kind: KindStorage, Err: eris.Wrap(err, "cannot read or write the data folder; the node stops")}
}
