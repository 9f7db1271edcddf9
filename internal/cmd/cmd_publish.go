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
	Base     *uint64 `help:"Version that the change is based on; the one in force where absent."`
	ChangeID string  `help:"Id of the change; the same id again gets the same answer." name:"change-id"`
	Author   string  `help:"Who makes the change." default:"operator"`
	Wait     bool    `help:"Wait until every member follows the change, 17 s at most." default:"true" negatable:""`
	outputFlag
}

// published is the result of a publish.
type published struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"changeId"`
	// InForce tells whether every member was seen to follow the change.
	InForce bool `json:"inForce"`
	// Behind are the members that were not.
	Behind []string `json:"behind,omitempty"`
}

// Help implements kong.HelpProvider.
func (c *cmdPublish) Help() string {
	return `Collects every skylarklane.yaml below the folder, checks them, and submits them as one
change that takes the place of the configuration in force.

Where an answer is lost the change is sent again under the same change id, so that it is
made once. Where another change came first this one is refused: look at "config diff",
and publish again on top of it.

Exit codes: 0 accepted; 1 failed, the outcome may be unknown: the message tells the change
id to repeat the command with; 2 wrong usage; 3 refused, nothing has changed.`
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
	reply, err := ask(e, c.controlFlag, func(ctx context.Context, control wire.Control) (*wire.PublishReply, error) {
		return control.Publish(ctx, request)
	})
	if err != nil {
		return &Error{Op: "publish", Kind: KindFailed, Err: eris.Wrapf(err, "the outcome is unknown; repeat with --change-id %s --base %d", request.ChangeId, request.BaseVersion)}
	}
	if !reply.GetAccepted() {
		return &Error{Op: "publish", Kind: KindRefused, Err: refusal(reply)}
	}
	return c.report(e, published{Version: reply.GetVersion(), ChangeID: request.ChangeId})
}

// report tells that a change is accepted, and whether it is in force.
func (c *cmdPublish) report(e *env, p published) error {
	title := fmt.Sprintf("version %d is accepted (change %s)", p.Version, p.ChangeID)
	if !c.Wait {
		return c.print(e, p, table{title: title})
	}
	found, err := c.awaitForce(e, p.Version)
	if err != nil {
		return err
	}
	p.Behind = found.behind
	p.InForce = len(found.behind) == 0
	if p.InForce {
		title += fmt.Sprintf(" and in force at all %d members", found.members)
	} else {
		title += fmt.Sprintf("; %d of %d members have not confirmed it and take no new work until they do: %s",
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

// refusal says in words why a change was not accepted.
func refusal(reply *wire.PublishReply) error {
	switch {
	case reply.GetDetail() != "":
		return eris.Errorf("%s: %s", reply.GetReason(), reply.GetDetail())
	case reply.GetReason() == "changeIdReused":
		return eris.Errorf("change id %s already stands for another change: version %d by %s", reply.GetWinnerChangeId(), reply.GetVersion(), reply.GetWinner())
	case reply.GetVersion() == 0:
		return eris.New("nothing is in force yet; publish with --base 0")
	default:
		return eris.Errorf("version %d by %s came first (change %s); see what it changed, and publish on top of it", reply.GetVersion(), reply.GetWinner(), reply.GetWinnerChangeId())
	}
}

// collectKind tells wrong files, which are refused, from a wrong folder.
func collectKind(err error) Kind {
	var e *service.Error
	if errors.As(err, &e) && e.Kind == service.KindInvalid {
		return KindRefused
	}
	return KindUsage
}
