package job

import (
	"context"
	"net/http"
	"slices"
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

// EntryDirectory lists the entries.
type EntryDirectory interface {
	// Entries returns the members that are entries.
	Entries() []*wire.Member
	// Refresh waits until the list is at least as new as the call.
	Refresh(ctx context.Context) error
}

// Canceller cancels the best-effort jobs of all entries.
type Canceller struct {
	d         *Dispatcher
	directory EntryDirectory
	client    *http.Client
}

// NewCanceller returns a canceller. client makes the calls to other entries.
func NewCanceller(d *Dispatcher, directory EntryDirectory, client *http.Client) *Canceller {
	return &Canceller{d: d, directory: directory, client: client}
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
// An entry that has joined lately may be missing in the list that is at hand, so
// the others are asked once more with a newer one.
func (c *Canceller) Cancel(ctx context.Context, id string) (known bool, err error) {
	if c.d.Cancel(id) {
		return true, nil
	}
	asked := c.directory.Entries()
	if known, err := c.cancelAtAll(ctx, asked, id); known || err != nil {
		return known, err
	}
	if err := c.directory.Refresh(ctx); err != nil {
		return false, &Error{Op: "cancel", Kind: KindUnanswered, Err: eris.Wrap(err, "the directory is not renewed")}
	}
	joined := slices.DeleteFunc(c.directory.Entries(), func(m *wire.Member) bool { return contains(asked, m) })
	return c.cancelAtAll(ctx, joined, id)
}

// cancelAtAll cancels a job at the one of the entries that runs it.
func (c *Canceller) cancelAtAll(ctx context.Context, entries []*wire.Member, id string) (known bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var calls sync.WaitGroup
	found := make(chan bool, len(entries))
	unanswered := make(chan string, len(entries))
	for _, m := range entries {
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
	if len(found) > 0 { // which has ended the other calls
		return true, nil
	}
	select {
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
		if !contains(c.directory.Entries(), m) {
			return false, true
		}
		sleep(ctx, backoff(cancelBackoff))
	}
	return false, false
}

// contains reports whether the list has the incarnation of a member.
func contains(list []*wire.Member, m *wire.Member) bool {
	return slices.ContainsFunc(list, func(other *wire.Member) bool { return wire.Same(other.GetIncarnation(), m.GetIncarnation()) })
}

// Cancel stops an open best-effort job, or one that waits for the runs of its
// earlier attempt to end, and reports whether there is one. Submissions that have yet
// to learn whether another entry runs the job begin none, nor do those that arrive
// within endedJobRetention.
func (d *Dispatcher) Cancel(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.claiming[id] {
		c.cancelled = true
	}
	job := d.jobs[id]
	if job == nil && len(d.claiming[id]) == 0 {
		d.bar(id)
	}
	if job == nil || job.durable != nil || job.answered && job.successors == 0 {
		return false
	}
	close(job.cancelled)
	job.cancelled = make(chan struct{})
	d.finish(job, Outcome{State: Failed, Reason: reasonCancelled})
	return true
}

// bar remembers the cancellation of a job that is not known here, as its request may
// arrive later. The number of jobs that are remembered is bounded.
func (d *Dispatcher) bar(id string) {
	if _, known := d.endedJobs[id]; known || len(d.endedJobs) >= maxClaims {
		return
	}
	d.endedJobs[id] = endedJob{outcome: Outcome{State: Failed, Reason: reasonCancelled}, endedAt: d.clock.Now(), barred: true}
}
