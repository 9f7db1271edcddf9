package control

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// newestTimeout bounds a call of Newest, including its retries.
	newestTimeout = 1500 * time.Millisecond
	// newestAttemptTimeout bounds one attempt to read from the leader.
	newestAttemptTimeout = 600 * time.Millisecond
)

// Newest implements wire.Control. It is a linearizable read: the leader confirms
// its leadership by a round of heartbeats that begins after the call, instead of
// relying on its clock.
func (c *Control) Newest(ctx context.Context, q *wire.NewestRequest) (*wire.NewestReply, error) {
	reply, err := retry(ctx, c, newestTimeout, newestAttemptTimeout, func(ctx context.Context) (*wire.NewestReply, error) { return c.newestOnce(ctx, q) })
	if err != nil {
		c.scope.Counter("newest_refused_unconfirmed").Inc(1)
	}
	return reply, err
}

// newestOnce reads the newest change from this host if it leads. Otherwise it asks the
// leader for the version, and for the source only if this host does not have it.
func (c *Control) newestOnce(ctx context.Context, q *wire.NewestRequest) (*wire.NewestReply, error) {
	answer := make(chan *wire.NewestReply, 1)
	err := c.node.ReadConfirmed(ctx, func(uint64) { answer <- c.state.machine.newest() })
	if address := c.leaderAddress(err); address != "" {
		return c.newestOf(ctx, address)
	}
	if err != nil {
		return nil, unavailable(err)
	}
	reply := <-answer
	if reply.GetVersion() == q.GetKnownVersion() {
		reply.Source = nil
	}
	return reply, nil
}

// newestOf returns the newest change of the leader.
func (c *Control) newestOf(ctx context.Context, leader string) (*wire.NewestReply, error) {
	own := c.state.machine.published.Load()
	version := own.config.GetVersion()
	if err := reserveUnknown(ctx, version); err != nil {
		return nil, err
	}
	reply, err := forward(ctx, c, leader, func(ctx context.Context, leader wire.Control) (*wire.NewestReply, error) {
		return leader.Newest(ctx, &wire.NewestRequest{KnownVersion: version})
	})
	if err == nil && reply.GetVersion() == version {
		reply.Source = own.source
	}
	return reply, err
}
