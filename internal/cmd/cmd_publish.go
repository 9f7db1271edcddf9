package cmd

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/service"
	"skylarklane.example/lib/wire"
)

// cmdPublish is `skylarklane publish --control 127.0.0.1:7000 services/`.
type cmdPublish struct {
	Folder string `arg:"" help:"Folder with skylarklane.yaml files beside the services' code." type:"existingdir"`
	controlFlag
	Base     *uint64 `help:"Version on which the change is based; the one in force by default."`
	ChangeID string  `help:"Id of the change; a repeated id gets the same response." name:"change-id"`
	Author   string  `help:"Author of the change." default:"operator"`
	Wait     bool    `help:"Wait until every member has applied the change, 17 s at most." default:"true" negatable:""`
	outputFlag
}

// publishResult is the result of a publish.
type publishResult struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"changeId"`
	// InForce reports whether every member has confirmed the change.
	InForce bool `json:"inForce"`
	// Behind are the members that have not confirmed the change.
	Behind []string `json:"behind,omitempty"`
}

// Help implements kong.HelpProvider.
func (c *cmdPublish) Help() string {
	return `Collects every skylarklane.yaml below the folder, checks them, and submits them as one
change that replaces the configuration in force.

If there is no response the change is sent again with the same change id, so that it is
applied only once. If another change was accepted first this one is refused: see
"config diff" for the other change, and publish again on top of it.

Exit codes: 0 accepted; 1 failed, the outcome may be unknown: the message has the change
id with which to repeat the command; 2 usage error; 3 refused, nothing has changed.`
}

// Run collects the files and submits them as one change.
func (c *cmdPublish) Run(e *env) error {
	collected, err := service.Collect(os.DirFS(c.Folder))
	if err != nil {
		return &Error{Op: "publish", Kind: collectKind(err), Err: err}
	}
	request := &wire.PublishRequest{
		ChangeId: c.ChangeID, Author: c.Author, Services: collected.GetServices(), Teams: collected.GetTeams(),
	}
	if request.ChangeId == "" {
		request.ChangeId = rand.Text()
	}
	request.BaseVersion, err = c.base(e)
	if err != nil {
		return err
	}
	reply, err := callControl(e, c.controlFlag, func(ctx context.Context, control wire.Control) (*wire.PublishReply, error) {
		return control.Publish(ctx, request)
	})
	if err != nil {
		return &Error{Op: "publish", Kind: KindFailed, Err: eris.Wrapf(err, "the outcome is unknown; repeat with --change-id %s --base %d", request.ChangeId, request.BaseVersion)}
	}
	if !reply.GetAccepted() {
		return &Error{Op: "publish", Kind: KindRefused, Err: refusalError(reply)}
	}
	return c.report(e, publishResult{Version: reply.GetVersion(), ChangeID: request.ChangeId})
}

// report prints that a change is accepted, and whether it is in force.
func (c *cmdPublish) report(e *env, p publishResult) error {
	title := fmt.Sprintf("version %d is accepted (change %s)", p.Version, p.ChangeID)
	if !c.Wait {
		return c.print(e, p, table{title: title})
	}
	found, err := c.awaitApplied(e, p.Version)
	if err != nil {
		return err
	}
	p.Behind = found.behind
	p.InForce = len(found.behind) == 0
	if p.InForce {
		title += fmt.Sprintf(" and in force at all %d members", found.members)
	} else {
		title += fmt.Sprintf("; %d of %d members have not confirmed it and accept no new work until they do: %s",
			len(found.behind), found.members, strings.Join(found.behind, ", "))
	}
	return c.print(e, p, table{title: title})
}

func (c *cmdPublish) base(e *env) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	return c.inForce(e, "publish")
}

// refusalError returns an error that describes why a change was not accepted.
func refusalError(reply *wire.PublishReply) error {
	switch {
	case reply.GetDetail() != "":
		return eris.Errorf("%s: %s", reply.GetReason(), reply.GetDetail())
	case reply.GetReason() == "changeIdReused":
		return eris.Errorf("change id %s is already used by another change: version %d by %s", reply.GetWinnerChangeId(), reply.GetVersion(), reply.GetWinner())
	case reply.GetVersion() == 0:
		return eris.New("nothing is in force yet; publish with --base 0")
	default:
		return eris.Errorf("version %d by %s was accepted first (change %s); see what it changed, and publish on top of it", reply.GetVersion(), reply.GetWinner(), reply.GetWinnerChangeId())
	}
}

// collectKind returns KindRefused for invalid service files and KindUsage for
// other errors, such as an unreadable folder.
func collectKind(err error) Kind {
	var e *service.Error
	if errors.As(err, &e) && e.Kind == service.KindInvalid {
		return KindRefused
	}
	return KindUsage
}
