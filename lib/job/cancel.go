package job

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

const (
	// cancelTimeout bounds one call to another entry.
	cancelTimeout = 300 * time.Millisecond
	// cancelBackoff bounds the wait before the next one.
	cancelBackoff = 100 * time.Millisecond
)

var _ wire.Canceller = (*Canceller)(nil)

// Canceller cancels the best-effort jobs of all entries.
type Canceller struct {
	d *Dispatcher
	// members returns the members that are entries.
	members func() []*wire.Member
	client  *http.Client
}

// NewCanceller returns a canceller. members returns the members that are entries,
// and client makes the calls to them.
func NewCanceller(d *Dispatcher, members func() []*wire.Member, client *http.Client) *Canceller {
	return &Canceller{d: d, members: members, client: client}
}

// Handler serves other entries under wire.CancellerPathPrefix.
func (c *Canceller) Handler() http.Handler { return wire.NewCancellerServer(c) }

// CancelOpenJob implements wire.Canceller.
func (c *Canceller) CancelOpenJob(_ context.Context, q *wire.CancelJobRequest) (*wire.CancelJobReply, error) {
	return &wire.CancelJobReply{Known: c.d.Cancel(q.GetKey())}, nil
}

// Cancel cancels a job at the entry that runs it, and reports whether there is one.
// Entries that don't answer are asked again until ctx ends or they are listed no
// more; without the answer of each it is unknown whether one of them runs the job.
func (c *Canceller) Cancel(ctx context.Context, id string) (known bool, err error) {
	if c.d.Cancel(id) {
		return true, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var calls sync.WaitGroup
	members := c.members()
	found := make(chan bool, len(members))
	unanswered := make(chan string, len(members))
	for _, m := range members {
		if wire.Same(m.GetIncarnation(), c.d.self) {
			continue
		}
		calls.Go(func() {
			switch known, answered := c.cancelAt(ctx, m, id); {
			case known:
				found <- true
				cancel()
			case !answered:
				unanswered <- m.GetIncarnation().GetId()
			}
		})
	}
	calls.Wait()
	select {
	case <-found:
		return true, nil
	case entry := <-unanswered:
		return false, &Error{Op: "cancel", Kind: KindUnanswered, Err: eris.Errorf("entry %s has not answered", entry)}
	default:
		return false, nil
	}
}

// cancelAt cancels a job at another entry. An entry that is listed no more has no
// jobs.
func (c *Canceller) cancelAt(ctx context.Context, m *wire.Member, id string) (known, answered bool) {
	entry := wire.NewCancellerProtobufClient("http://"+m.GetAddress(), c.client)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		reply, err := entry.CancelOpenJob(callCtx, &wire.CancelJobRequest{Key: id})
		cancel()
		if err == nil {
			return reply.GetKnown(), true
		}
		c.d.metrics.retry("cancel")
		c.d.log.Debug("cancel call to the entry failed", "entry", m.GetIncarnation().GetId(), "job", id, "error", err)
		if !c.isListed(m) {
			return false, true
		}
		sleep(ctx, backoff(cancelBackoff))
	}
	return false, false
}

func (c *Canceller) isListed(m *wire.Member) bool {
	for _, other := range c.members() {
		if wire.Same(other.GetIncarnation(), m.GetIncarnation()) {
			return true
		}
	}
	return false
}

// Cancel stops an open best-effort job, or one that waits for the runs of its
// earlier attempt to end, and reports whether there is one.
func (d *Dispatcher) Cancel(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	job := d.jobs[id]
	if job == nil || job.durable != nil || job.answered && job.successors == 0 {
		return false
	}
	close(job.cancelled)
	job.cancelled = make(chan struct{})
	d.finish(job, Outcome{State: Failed, Reason: reasonCancelled})
	return true
}
