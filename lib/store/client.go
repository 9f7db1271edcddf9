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
	// roundPause is the wait after a host has not answered.
	roundPause = 25 * time.Millisecond
)

// Client calls a store. It finds the leader, and sends a call again until it is
// answered or its time is over: all calls may be repeated. It implements
// wire.JobStore; no reply names a leader.
type Client struct {
	client *http.Client
	hosts  func() []string

	mu sync.Mutex
	// leader is the host that answered last, or that another one has named.
	leader string
	next   int
}

var _ wire.JobStore = (*Client)(nil)

// NewClient returns a client of the store at the hosts, which are asked for
// anew with each attempt. Errors of its calls are of kind KindInDoubt or
// KindNotDone.
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

// reply is one that may name the leader instead of an answer.
type reply interface{ GetLeader() string }

func call[R reply](ctx context.Context, c *Client, op string, f func(context.Context, wire.JobStore) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	cause := eris.New("no host is known")
	kind := KindNotDone
	for ctx.Err() == nil {
		if address := c.target(); address != "" {
			r, err := try(ctx, c.client, address, f)
			if err == nil && r.GetLeader() == "" {
				c.found(address)
				return r, nil
			}
			if err != nil {
				cause = err
				kind = worse(kind, err)
			}
			if c.redirect(address, r.GetLeader()) {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(roundPause):
		}
	}
	var none R
	return none, &Error{Op: op, Kind: kind, Err: cause}
}

// worse returns what is known of a call after another attempt has failed.
func worse(kind Kind, err error) Kind {
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Meta(metaNotDone) != "" {
		return kind
	}
	var unsent *net.OpError
	if errors.As(err, &unsent) && unsent.Op == "dial" {
		return kind
	}
	return KindInDoubt
}

func try[R reply](ctx context.Context, client *http.Client, address string, f func(context.Context, wire.JobStore) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return f(ctx, wire.NewJobStoreProtobufClient("http://"+address, client))
}

// target returns the host to ask next: the leader, else each in turn.
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

// found takes note of the host that answered.
func (c *Client) found(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// redirect takes in that a host has not answered, and which one it named
// instead. It tells whether that one is asked at once: not where this host was
// itself thought to lead, so that two that name each other are asked slowly.
func (c *Client) redirect(address, named string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	followed := c.leader == address
	if c.leader != "" && !followed {
		return true // another call has found a leader meanwhile
	}
	c.leader = named
	return named != "" && !followed
}
