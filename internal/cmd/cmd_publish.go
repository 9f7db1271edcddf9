package cmd

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"

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
	outputFlag
}

// published is the result of a publish.
type published struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"changeId"`
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
	title := fmt.Sprintf("version %d is accepted (change %s)", reply.GetVersion(), request.ChangeId)
	return c.print(e, published{Version: reply.GetVersion(), ChangeID: request.ChangeId}, table{title: title})
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
