package cmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

const (
	// callTimeout bounds one call of an operator's command.
	callTimeout = 5 * time.Second
	// retryInterval is the time between two rounds of asking all control hosts.
	retryInterval = 500 * time.Millisecond
)

// controlFlag names the control hosts and says how long to try them.
type controlFlag struct {
	Control []string      `help:"Addresses of control hosts, IP:port; they are tried in turn." required:"" placeholder:"ADDRESS"`
	Timeout time.Duration `help:"How long to try." default:"30s"`
}

// ask calls the control hosts in turn until one answers or the time is up. The
// call must have the same effect when it is repeated.
func ask[R any](e *env, f controlFlag, call func(context.Context, wire.Control) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(e.ctx, f.Timeout)
	defer cancel()
	for {
		var last error
		for _, address := range f.Control {
			one, cancel := context.WithTimeout(ctx, callTimeout)
			reply, err := call(one, wire.NewControlProtobufClient("http://"+address, e.client))
			cancel()
			if err == nil {
				return reply, nil
			}
			last = eris.Wrapf(err, "no answer from control host %s", address)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			var none R
			return none, last
		}
	}
}

// inForce returns the version of the configuration in force.
func (f controlFlag) inForce(e *env, op string) (uint64, error) {
	status, err := ask(e, f, func(ctx context.Context, control wire.Control) (*wire.StatusReply, error) {
		status, err := control.Status(ctx, &wire.StatusRequest{})
		if err == nil && !status.GetCurrent() {
			return nil, eris.Errorf("%s is not the leader and cannot reach one", status.GetId())
		}
		return status, err
	})
	if err != nil {
		return 0, &Error{Op: op, Kind: KindFailed, Err: err}
	}
	return status.GetDirectory().GetConfigVersion(), nil
}

// history returns changes from a version on.
func (f controlFlag) history(e *env, op string, since uint64, limit uint32) ([]*wire.Change, error) {
	reply, err := ask(e, f, func(ctx context.Context, control wire.Control) (*wire.HistoryReply, error) {
		return control.History(ctx, &wire.HistoryRequest{Since: since, Limit: limit})
	})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindFailed, Err: err}
	}
	return reply.GetChanges(), nil
}
