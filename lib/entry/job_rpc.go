package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// Await implements wire.Entry. If the ledger has this entry as the holder of a
// key for which no job runs here, the key is adopted, which releases it.
func (e *Entry) Await(ctx context.Context, q *wire.AwaitRequest) (*wire.AwaitReply, error) {
	if q.GetHolder().GetNumber() != e.follower.Member().GetIncarnation().GetNumber() {
		return &wire.AwaitReply{}, nil
	}
	j := e.jobs.find(q.GetKey())
	if j == nil {
		e.adoptKey(q.GetKey())
		return &wire.AwaitReply{}, nil
	}
	select {
	case <-j.done:
		return &wire.AwaitReply{Known: true, Outcome: j.outcome}, nil
	case <-time.After(time.Duration(q.GetWaitMillis()) * time.Millisecond):
	case <-ctx.Done():
	}
	return &wire.AwaitReply{Known: true}, nil
}

// Adopt implements wire.Entry.
func (e *Entry) Adopt(_ context.Context, q *wire.AdoptRequest) (*wire.AdoptReply, error) {
	e.adoptKey(q.GetKey())
	return &wire.AdoptReply{}, nil
}

// CancelJob implements wire.Entry.
func (e *Entry) CancelJob(_ context.Context, q *wire.CancelJobRequest) (*wire.CancelJobReply, error) {
	j := e.jobs.find(q.GetKey())
	if j == nil {
		return &wire.CancelJobReply{}, nil
	}
	j.cancel()
	return &wire.CancelJobReply{Known: true}, nil
}

// adoptKey resolves the outcome of a key that no caller has submitted here. It
// returns the running job of the key, which it starts if needed, or nil if this
// entry is leaving.
func (e *Entry) adoptKey(key string) *job {
	if j := e.jobs.find(key); j != nil {
		return j
	}
	if e.gate.Closed() {
		return nil
	}
	j, added := e.jobs.findOrAdd(&job{key: key})
	if added {
		e.startCoordinator(j)
	}
	return j
}
