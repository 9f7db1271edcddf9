package cmd

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// drainPollInterval is the interval at which drain checks whether the member
// has left.
const drainPollInterval = 200 * time.Millisecond

// cmdDrain is `skylarklane drain worker1 --control 127.0.0.1:7000`.
type cmdDrain struct {
	Member  string        `arg:"" help:"Id of an entry or agent."`
	Control string        `help:"Address of a control host, IP:port." required:""`
	Wait    time.Duration `help:"Maximum time to wait until the member has left." default:"0s"`
	outputFlag
}

// drainResult is the result of a drain.
type drainResult struct {
	Member  string `json:"member"`
	Address string `json:"address"`
	Gone    bool   `json:"gone"`
}

// Run requests the member to leave.
func (c *cmdDrain) Run(e *env) error {
	member, err := c.find(e)
	if err != nil {
		return err
	}
	if member == nil {
		return &Error{Op: "drain", Kind: KindRefused, Err: eris.Errorf("there is no member %s; `skylarklane status` lists the members", c.Member)}
	}
	if err := c.requestDrain(e, member.GetAddress()); err != nil {
		return err
	}
	gone, err := c.await(e, member)
	if err != nil {
		return err
	}
	result := drainResult{Member: c.Member, Address: member.GetAddress(), Gone: gone}
	return c.print(e, result, table{title: result.String()})
}

// String returns the result as one line.
func (d drainResult) String() string {
	if d.Gone {
		return fmt.Sprintf("%s has left", d.Member)
	}
	return fmt.Sprintf("%s is leaving: it accepts no new work and ends once no work is in flight", d.Member)
}

func (c *cmdDrain) find(e *env) (*wire.Member, error) {
	reply, err := requestStatus(e, "drain", c.Control)
	if err != nil {
		return nil, err
	}
	for _, member := range reply.GetDirectory().GetMembers() {
		if member.GetIncarnation().GetId() == c.Member {
			return member, nil
		}
	}
	return nil, nil
}

func (c *cmdDrain) requestDrain(e *env, address string) error {
	r, err := http.NewRequestWithContext(e.ctx, http.MethodPost, "http://"+address+"/v1/admin/drain", nil)
	if err != nil {
		return &Error{Op: "drain", Kind: KindFailed, Err: eris.Wrap(err, "invalid address")}
	}
	response, err := e.client.Do(r)
	if err != nil {
		return &Error{Op: "drain", Kind: KindFailed, Err: eris.Wrap(err, "the member did not respond")}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusUnauthorized:
		return &Error{Op: "drain", Kind: KindRefused, Err: eris.New("the member requires the operator token; set --token-file")}
	default:
		return &Error{Op: "drain", Kind: KindFailed, Err: eris.Errorf("the member responded with status %d", response.StatusCode)}
	}
}

// await waits until the member's incarnation has left, at most for c.Wait, and
// reports whether it has.
func (c *cmdDrain) await(e *env, member *wire.Member) (bool, error) {
	deadline := time.Now().Add(c.Wait)
	for time.Now().Before(deadline) {
		now, err := c.find(e)
		if err != nil {
			return false, err
		}
		if now.GetIncarnation().GetNumber() != member.GetIncarnation().GetNumber() {
			return true, nil
		}
		time.Sleep(drainPollInterval)
	}
	if c.Wait > 0 {
		return false, &Error{Op: "drain", Kind: KindFailed, Err: eris.Errorf("%s has not left after %s", c.Member, c.Wait)}
	}
	return false, nil
}
