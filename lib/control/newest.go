package control

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// newestTimeout bounds the wait for a quorum's word.
	newestTimeout = 1500 * time.Millisecond
	// newestAttempt bounds one attempt at the leader.
	newestAttempt = 600 * time.Millisecond
)

// Newest implements wire.Control. It is confirmed by a round of heartbeats that
// began after the call, never by the leader's clock.
func (c *Control) Newest(ctx context.Context, q *wire.NewestRequest) (*wire.NewestReply, error) {
	reply, err := untilDone(ctx, c, newestTimeout, newestAttempt, func(ctx context.Context) (*wire.NewestReply, error) { return c.newestOnce(ctx, q) })
	if err != nil {
		c.scope.Counter("newest_refused_unconfirmed").Inc(1)
	}
	return reply, err
}

func (c *Control) newestOnce(ctx context.Context, q *wire.NewestRequest) (*wire.NewestReply, error) {
	answer := make(chan *wire.NewestReply, 1)
	err := c.node.Confirm(ctx, func(uint64) { answer <- c.state.machine.newest() })
	if address := c.leaderAddress(err); address != "" {
		return forward(ctx, c, address, func(ctx context.Context, leader wire.Control) (*wire.NewestReply, error) {
			return leader.Newest(ctx, q)
		})
	}
	if err != nil {
		return nil, unavailable(err)
	}
	return <-answer, nil
}
