package store

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/link"
	"skylarklane.example/lib/wire"
)

const (
	// attemptTimeout bounds one call to one host.
	attemptTimeout = 500 * time.Millisecond
	// retryInterval is the delay before a call is sent again after a host did
	// not answer it.
	retryInterval = 25 * time.Millisecond
)

// Client calls a job store. It finds the leader and retries a call until it is
// answered or callTimeout ends; all calls are idempotent. It implements
// wire.JobStore; its replies never name a leader.
type Client struct {
	client *http.Client
	hosts  func() []string

	mu sync.Mutex
	// leader is the host that answered last, or that another host named as the
	// leader.
	leader string
	// next selects the host to call while no leader is known.
	next int
}

var _ wire.JobStore = (*Client)(nil)

// NewClient returns a client of the job store on the given hosts. hosts is
// called before each attempt, so the list may change. Errors of its calls are
// of kind KindInDoubt or KindNotDone.
func NewClient(client *http.Client, hosts func() []string) *Client {
	return &Client{client: link.Client(client), hosts: hosts}
}

// Keep implements wire.JobStore.
func (c *Client) Keep(ctx context.Context, q *wire.KeepRequest) (*wire.KeepReply, error) {
	return call(ctx, c, "keep", func(ctx context.Context, host wire.JobStore) (*wire.KeepReply, error) { return host.Keep(ctx, q) })
}

// Note implements wire.JobStore.
func (c *Client) Note(ctx context.Context, q *wire.NoteRequest) (*wire.NoteReply, error) {
	return call(ctx, c, "note", func(ctx context.Context, host wire.JobStore) (*wire.NoteReply, error) { return host.Note(ctx, q) })
}

// CancelKept implements wire.JobStore.
func (c *Client) CancelKept(ctx context.Context, q *wire.CancelKeptRequest) (*wire.CancelKeptReply, error) {
	return call(ctx, c, "cancel", func(ctx context.Context, host wire.JobStore) (*wire.CancelKeptReply, error) {
		return host.CancelKept(ctx, q)
	})
}

// ClaimJobs implements wire.JobStore.
func (c *Client) ClaimJobs(ctx context.Context, q *wire.ClaimJobsRequest) (*wire.ClaimJobsReply, error) {
	return call(ctx, c, "claim", func(ctx context.Context, host wire.JobStore) (*wire.ClaimJobsReply, error) {
		return host.ClaimJobs(ctx, q)
	})
}

// ReadJob implements wire.JobStore.
func (c *Client) ReadJob(ctx context.Context, q *wire.ReadJobRequest) (*wire.ReadJobReply, error) {
	return call(ctx, c, "read", func(ctx context.Context, host wire.JobStore) (*wire.ReadJobReply, error) { return host.ReadJob(ctx, q) })
}

// CountJobs implements wire.JobStore.
func (c *Client) CountJobs(ctx context.Context, q *wire.CountJobsRequest) (*wire.CountJobsReply, error) {
	return call(ctx, c, "count", func(ctx context.Context, host wire.JobStore) (*wire.CountJobsReply, error) {
		return host.CountJobs(ctx, q)
	})
}

// reply is a reply that names the leader when the called host is not the
// leader.
type reply interface{ GetLeader() string }

func call[R reply](ctx context.Context, c *Client, op string, f func(context.Context, wire.JobStore) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cause := eris.New("no store host is configured or known")
	kind := KindNotDone
	for ctx.Err() == nil {
		if address := c.target(); address != "" {
			r, err := callHost(ctx, c.client, address, f)
			if err == nil && r.GetLeader() == "" {
				c.setLeader(address)
				return r, nil
			}
			if err != nil {
				cause = err
				kind = kindAfter(kind, err)
			}
			if c.redirect(address, r.GetLeader()) {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	var none R
	return none, &Error{Op: op, Kind: kind, Err: cause}
}

// kindAfter returns the error kind of a call after another attempt failed with
// err. The kind stays the same only if that attempt certainly had no effect:
// the host said so, or the connection was never made.
func kindAfter(kind Kind, err error) Kind {
	var serverError twirp.Error
	if errors.As(err, &serverError) && serverError.Meta(metaNotDone) != "" {
		return kind
	}
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		return kind
	}
	return KindInDoubt
}

func callHost[R reply](ctx context.Context, client *http.Client, address string, f func(context.Context, wire.JobStore) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return f(ctx, wire.NewJobStoreProtobufClient("http://"+address, client))
}

// target returns the host to call next: the leader if known, else each host in
// turn.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	hosts := c.hosts()
	if len(hosts) == 0 {
		return ""
	}
	c.next++
	return hosts[c.next%len(hosts)]
}

// setLeader records that a host answered as the leader.
func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// redirect records that the host at address did not answer the call, and which
// other host it named as the leader, if any. It reports whether to retry
// without delay. If the host at address was itself believed to be the leader,
// the retry is delayed, so that two hosts that name each other are not called in
// a tight loop.
func (c *Client) redirect(address, namedLeader string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasLeader := c.leader == address
	if c.leader != "" && !wasLeader {
		return true // a concurrent call found a leader
	}
	c.leader = namedLeader
	return namedLeader != "" && !wasLeader
}
