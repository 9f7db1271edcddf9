package cmd

import (
	"fmt"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// cmdStatus is `skylarklane status --control 127.0.0.1:7000`.
type cmdStatus struct {
	Control string `help:"Address of a control host, IP:port." required:""`
}

// Run prints the members as a table.
func (c *cmdStatus) Run(e *env) error {
	reply, err := wire.NewControlProtobufClient("http://"+c.Control, e.client).Status(e.ctx, &wire.StatusRequest{})
	if err != nil {
		return &Error{Op: "status", Kind: KindFailed, Err: eris.Wrap(err, "the control host did not answer")}
	}
	fmt.Fprintf(e.out, "configuration version %d, directory version %d\n", reply.GetDirectory().GetConfigVersion(), reply.GetDirectory().GetVersion())
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tROLE\tADDRESS\tDATA CENTRE\tRACK\tLEASE")
	for _, member := range reply.GetMembers() {
		m := member.GetMember()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%dms\n", m.GetIncarnation().GetId(), m.GetRole(), m.GetAddress(),
			m.GetDataCentre(), m.GetRack(), member.GetLeaseLeftMillis())
	}
	return w.Flush()
}
