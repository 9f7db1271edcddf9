package cmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

const (
	// forcePatience bounds the wait for a change to be in force everywhere.
	forcePatience = 17 * time.Second
	// forcePause is the time between two looks at the members.
	forcePause = 100 * time.Millisecond
)

// followers is how many members follow a configuration version.
type followers struct {
	members int
	// behind are the ids of those that have not confirmed it yet.
	behind []string
}

// awaitForce waits until every member follows a configuration version, or the
// time for it is up.
func (f controlFlag) awaitForce(e *env, version uint64) (followers, error) {
	ctx, cancel := context.WithTimeout(e.ctx, forcePatience)
	defer cancel()
	var since uint64
	for {
		status, err := ask(e, f, func(ctx context.Context, control wire.Control) (*wire.StatusReply, error) {
			return control.Status(ctx, &wire.StatusRequest{})
		})
		if err != nil {
			return followers{}, &Error{Op: "publish", Kind: KindFailed, Err: eris.Wrap(err, "accepted, but no control host tells who follows it")}
		}
		if since == 0 && status.GetCurrent() && status.GetDirectory().GetConfigVersion() >= version {
			since = status.GetDirectory().GetVersion()
		}
		found := followersOf(status, since)
		if since > 0 && len(found.behind) == 0 {
			return found, nil
		}
		select {
		case <-ctx.Done():
			return found, nil
		case <-time.After(forcePause):
		}
	}
}

// followersOf counts the members that have a directory of that version.
func followersOf(status *wire.StatusReply, since uint64) followers {
	var found followers
	for _, member := range status.GetMembers() {
		found.members++
		if member.GetDirectoryVersion() < since {
			found.behind = append(found.behind, member.GetMember().GetIncarnation().GetId())
		}
	}
	return found
}
