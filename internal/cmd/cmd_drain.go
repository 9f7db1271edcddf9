package cmd

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// drainPoll is how often a waiting drain looks whether the member is gone.
const drainPoll = 200 * time.Millisecond

// cmdDrain is `skylarklane drain worker1 --control 127.0.0.1:7000`.
type cmdDrain struct {
	Member  string        `arg:"" help:"Id of an entry or agent."`
	Control string        `help:"Address of a control host, IP:port." required:""`
	Wait    time.Duration `help:"Wait at most this long until the member is gone." default:"0s"`
	outputFlag
}

// drained is the result of a drain.
type drained struct {
	Member  string `json:"member"`
	Address string `json:"address"`
	Gone    bool   `json:"gone"`
}

// Run asks the member to leave.
func (c *cmdDrain) Run(e *env) error {
	member, err := c.find(e)
	if err != nil {
		return err
	}
	if member == nil {
		return &Error{Op: "drain", Kind: KindRefused, Err: eris.Errorf("no member is named %s; `skylarklane status` lists them", c.Member)}
	}
	if err := c.ask(e, member.GetAddress()); err != nil {
		return err
	}
	gone, err := c.await(e, member)
	if err != nil {
		return err
	}
	result := drained{Member: c.Member, Address: member.GetAddress(), Gone: gone}
	return c.print(e, result, table{title: result.String()})
}

// String tells the result in one line.
func (d drained) String() string {
	if d.Gone {
		return fmt.Sprintf("%s has left", d.Member)
	}
	return fmt.Sprintf("%s is leaving: it takes no new work and ends once nothing is in flight", d.Member)
}

func (c *cmdDrain) find(e *env) (*wire.Member, error) {
	reply, err := askStatus(e, "drain", c.Control)
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

func (c *cmdDrain) ask(e *env, address string) error {
	r, err := http.NewRequestWithContext(e.ctx, http.MethodPost, "http://"+address+"/v1/admin/drain", nil)
	if err != nil {
		return &Error{Op: "drain", Kind: KindFailed, Err: eris.Wrap(err, "bad address")}
	}
	response, err := e.client.Do(r)
	if err != nil {
		return &Error{Op: "drain", Kind: KindFailed, Err: eris.Wrap(err, "the member did not answer")}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusUnauthorized:
		return &Error{Op: "drain", Kind: KindRefused, Err: eris.New("the member asks for the operators' token; give --token-file")}
	default:
		return &Error{Op: "drain", Kind: KindFailed, Err: eris.Errorf("the member answered with status %d", response.StatusCode)}
	}
}

// await waits until the member's incarnation is gone, as long as asked for.
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
		time.Sleep(drainPoll)
	}
	if c.Wait > 0 {
		return false, &Error{Op: "drain", Kind: KindFailed, Err: eris.Errorf("%s is still there after %s", c.Member, c.Wait)}
	}
	return false, nil
}
