package cmd

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

const (
	// callTimeout bounds one call to a control host.
	callTimeout = 5 * time.Second
	// retryInterval is the pause between two rounds of calls to all control
	// hosts.
	retryInterval = 500 * time.Millisecond
)

// controlFlag has the addresses of the control hosts and the time limit for
// calls.
type controlFlag struct {
	Control []string      `help:"Addresses of control hosts, IP:port; they are tried in turn." required:"" placeholder:"ADDRESS"`
	Timeout time.Duration `help:"Maximum time to retry calls." default:"30s"`
}

// callControl calls the control hosts in turn until one responds or the timeout
// expires. The call must be idempotent.
func callControl[R any](e *env, f controlFlag, call func(context.Context, wire.Control) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(e.ctx, f.Timeout)
	defer cancel()
	for {
		var last error
		for _, address := range f.Control {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			reply, err := call(callCtx, wire.NewControlProtobufClient("http://"+address, e.client))
			cancel()
			if err == nil {
				return reply, nil
			}
			last = eris.Wrapf(err, "no response from control host %s", address)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			var zero R
			return zero, last
		}
	}
}

// inForce returns the version of the configuration in force.
func (f controlFlag) inForce(e *env, op string) (uint64, error) {
	status, err := callControl(e, f, func(ctx context.Context, control wire.Control) (*wire.StatusReply, error) {
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

// history returns up to limit changes, starting with version since.
func (f controlFlag) history(e *env, op string, since uint64, limit uint32) ([]*wire.Change, error) {
	reply, err := callControl(e, f, func(ctx context.Context, control wire.Control) (*wire.HistoryReply, error) {
		return control.History(ctx, &wire.HistoryRequest{Since: since, Limit: limit})
	})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindFailed, Err: err}
	}
	return reply.GetChanges(), nil
}
