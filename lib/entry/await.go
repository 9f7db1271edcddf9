package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// Await implements wire.Entry. A key that is not known here, though this entry
// holds it, is released.
func (e *Entry) Await(ctx context.Context, q *wire.AwaitRequest) (*wire.AwaitReply, error) {
	if q.GetHolder().GetNumber() != e.follower.Member().GetIncarnation().GetNumber() {
		return &wire.AwaitReply{}, nil
	}
	j := e.jobs.find(q.GetKey())
	if j == nil {
		e.lookAfter(q.GetKey())
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
	e.lookAfter(q.GetKey())
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

// lookAfter brings a key to its outcome that nobody has submitted here. It
// returns the key's job, nil where this entry is leaving.
func (e *Entry) lookAfter(key string) *job {
	if j := e.jobs.find(key); j != nil {
		return j
	}
	if e.gate.Closed() {
		return nil
	}
	j, mine := e.jobs.open(&job{key: key})
	if mine {
		e.begin(j)
	}
	return j
}
