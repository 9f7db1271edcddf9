package cmd

import (
	"crypto/rand"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/service"
	"skylarklane.example/lib/wire"
)

// cmdPublish is `skylarklane publish --control 127.0.0.1:7000 services/`.
type cmdPublish struct {
	Folder   string  `arg:"" help:"Folder with skylarklane.yaml files beside the services' code." type:"existingdir"`
	Control  string  `help:"Address of a control host, IP:port." required:""`
	Base     *uint64 `help:"Version that the change is based on; the one in force where absent."`
	ChangeID string  `help:"Id of the change; the same id again gets the same answer." name:"change-id"`
	Author   string  `help:"Who makes the change." default:"operator"`
}

// Run collects the files and submits them as one change.
func (c *cmdPublish) Run(e *env) error {
	collected, err := service.Collect(os.DirFS(c.Folder))
	if err != nil {
		return &Error{Op: "publish", Kind: KindUsage, Err: err}
	}
	control := wire.NewControlProtobufClient("http://"+c.Control, e.client)
	base, err := c.base(e, control)
	if err != nil {
		return err
	}
	id := c.ChangeID
	if id == "" {
		id = rand.Text()
	}
	reply, err := control.Publish(e.ctx, &wire.PublishRequest{
		ChangeId: id, BaseVersion: base, Author: c.Author, Services: collected.GetServices(), Teams: collected.GetTeams(),
	})
	if err != nil {
		return &Error{Op: "publish", Kind: KindFailed, Err: eris.Wrapf(err, "outcome unknown; send it again with --change-id %s", id)}
	}
	if !reply.GetAccepted() {
		return &Error{Op: "publish", Kind: KindRefused, Err: eris.Errorf("version %d by %s came first (change %s); collect again on top of it", reply.GetVersion(), reply.GetWinner(), reply.GetWinnerChangeId())}
	}
	fmt.Fprintf(e.out, "version %d is accepted (change %s)\n", reply.GetVersion(), id)
	return nil
}

func (c *cmdPublish) base(e *env, control wire.Control) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	status, err := control.Status(e.ctx, &wire.StatusRequest{})
	if err != nil {
		return 0, &Error{Op: "publish", Kind: KindFailed, Err: eris.Wrap(err, "the control host did not answer")}
	}
	return status.GetDirectory().GetConfigVersion(), nil
}
