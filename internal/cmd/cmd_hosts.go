package cmd

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// cmdHosts is `skylarklane hosts add|remove`.
type cmdHosts struct {
	Add    cmdHostsAdd    `cmd:"" help:"Add a host; it becomes a voter once it has caught up with the log."`
	Remove cmdHostsRemove `cmd:"" help:"Remove a host."`
}

// cmdHostsAdd is `skylarklane hosts add ID ADDRESS`.
type cmdHostsAdd struct {
	ID      string `arg:"" help:"Id of the new host."`
	Address string `arg:"" help:"Its address, IP:port."`
	controlFlag
}

// Run adds the host.
func (c *cmdHostsAdd) Run(e *env) error {
	return c.changeHost(e, "hosts add", &wire.ChangeHostRequest{Id: c.ID, Address: c.Address})
}

// cmdHostsRemove is `skylarklane hosts remove ID`.
type cmdHostsRemove struct {
	ID string `arg:"" help:"Id of the host."`
	controlFlag
}

// Run removes the host.
func (c *cmdHostsRemove) Run(e *env) error {
	return c.changeHost(e, "hosts remove", &wire.ChangeHostRequest{Id: c.ID, Remove: true})
}

// changeHost sends the change, again if there is no response. If the change had
// already been made, the response to the repeated request says so.
func (f controlFlag) changeHost(e *env, op string, q *wire.ChangeHostRequest) error {
	reply, err := callControl(e, f, func(ctx context.Context, control wire.Control) (*wire.ChangeHostReply, error) {
		return control.ChangeHost(ctx, q)
	})
	if err != nil {
		return &Error{Op: op, Kind: KindFailed, Err: eris.Wrap(err, "the outcome is unknown; check with skylarklane status")}
	}
	if !reply.GetChanged() {
		return &Error{Op: op, Kind: KindRefused, Err: eris.New(reply.GetDetail())}
	}
	_, err = fmt.Fprintf(e.out, "the control group has been changed; check with skylarklane status\n")
	return err
}
