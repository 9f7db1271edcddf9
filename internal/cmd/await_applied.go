package cmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

const (
	// applyTimeout bounds the wait until all members have applied a change.
	applyTimeout = 17 * time.Second
	// applyPollInterval is the interval between two status requests.
	applyPollInterval = 100 * time.Millisecond
)

// applyProgress is the progress of the members in applying a configuration
// version.
type applyProgress struct {
	members int
	// behind are the ids of the members that have not confirmed it yet.
	behind []string
}

// awaitApplied waits until every member has applied a configuration version or
// the time limit has passed.
func (f controlFlag) awaitApplied(e *env, version uint64) (applyProgress, error) {
	ctx, cancel := context.WithTimeout(e.ctx, applyTimeout)
	defer cancel()
	var since uint64
	for {
		status, err := callControl(e, f, func(ctx context.Context, control wire.Control) (*wire.StatusReply, error) {
			return control.Status(ctx, &wire.StatusRequest{})
		})
		if err != nil {
			return applyProgress{}, &Error{Op: "publish", Kind: KindFailed, Err: eris.Wrap(err, "accepted, but no control host reports which members have applied it")}
		}
		if since == 0 && status.GetCurrent() && status.GetDirectory().GetConfigVersion() >= version {
			since = status.GetDirectory().GetVersion()
		}
		found := applyProgressOf(status, since)
		if since > 0 && len(found.behind) == 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return found, nil
		case <-time.After(applyPollInterval):
		}
	}
}

// applyProgressOf counts the members, and lists those whose directory is older
// than directory version since.
func applyProgressOf(status *wire.StatusReply, since uint64) applyProgress {
	var found applyProgress
	for _, member := range status.GetMembers() {
		found.members++
		if member.GetDirectoryVersion() < since {
			found.behind = append(found.behind, member.GetMember().GetIncarnation().GetId())
		}
	}
	return found
}
