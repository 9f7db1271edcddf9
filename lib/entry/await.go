package entry

import (
	"context"

	"skylarklane.example/lib/wire"
)

// Await implements wire.Entry.
func (e *Entry) Await(context.Context, *wire.AwaitRequest) (*wire.AwaitReply, error) {
	return &wire.AwaitReply{}, nil
}

// CancelJob implements wire.Entry.
func (e *Entry) CancelJob(_ context.Context, q *wire.CancelJobRequest) (*wire.CancelJobReply, error) {
	return &wire.CancelJobReply{Known: e.dispatcher.Cancel(q.GetKey())}, nil
}
