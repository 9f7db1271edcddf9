package ledger

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

const (
	// attemptTimeout bounds one attempt.
	attemptTimeout = 2 * time.Second
	// firstRetryDelay and lastRetryDelay bound the time between attempts.
	firstRetryDelay = 5 * time.Millisecond
	lastRetryDelay  = 200 * time.Millisecond
)

// Client is an entry's way to the ledger. Each request is repeated, under the
// same incarnation, until its result is known or ctx ends; then the error is
// an *Error of KindInDoubt.
type Client struct {
	self      *wire.Incarnation
	directory Directory
	book      *book
	scope     tally.Scope
	claims    atomic.Uint64
}

// NewClient returns a client for the entry incarnation self.
func NewClient(self *wire.Incarnation, directory Directory, client *http.Client, scope tally.Scope) *Client {
	return &Client{self: self, directory: directory, book: newBook(client), scope: scope.SubScope("ledger")}
}

// NewClaim returns the claim of the next job.
func (c *Client) NewClaim() uint64 { return c.claims.Add(1) }

// Hold claims the key in q, whose shard, epoch and holder the client fills in.
// The digest, 32 bytes, tells contents apart.
func (c *Client) Hold(ctx context.Context, q *wire.HoldRequest) (*wire.HoldReply, error) {
	return c.hold(ctx, q)
}

// Takeover claims the key of an entry that was declared dead. The record tells
// who has it then; there is none where the key is free.
func (c *Client) Takeover(ctx context.Context, key string, claim uint64) (*wire.HoldReply, error) {
	return c.hold(ctx, &wire.HoldRequest{Key: key, Claim: claim, Takeover: true})
}

func (c *Client) hold(ctx context.Context, q *wire.HoldRequest) (reply *wire.HoldReply, err error) {
	q.Holder = c.self
	err = c.ask(ctx, "hold", q.GetKey(), func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error) {
		q.Shard, q.Epoch = view.GetShard(), view.GetEpoch()
		reply, err = primary.Hold(ctx, q)
		return reply.GetError(), err
	})
	return reply, err
}

// Finish records the outcome in q, whose shard, epoch and holder the client
// fills in. The record in the reply tells what stands.
func (c *Client) Finish(ctx context.Context, q *wire.FinishRequest) (reply *wire.FinishReply, err error) {
	q.Holder = c.self
	err = c.ask(ctx, "finish", q.GetKey(), func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error) {
		q.Shard, q.Epoch = view.GetShard(), view.GetEpoch()
		reply, err = primary.Finish(ctx, q)
		return reply.GetError(), err
	})
	return reply, err
}

// Look tells what the ledger knows of key.
func (c *Client) Look(ctx context.Context, key string) (reply *wire.LookReply, err error) {
	err = c.ask(ctx, "look", key, func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error) {
		reply, err = primary.Look(ctx, &wire.LookRequest{Shard: view.GetShard(), Epoch: view.GetEpoch(), Key: key})
		return reply.GetError(), err
	})
	return reply, err
}

// IsDead tells whether an incarnation was declared dead.
func (c *Client) IsDead(who *wire.Incarnation) bool {
	return c.book.isDead(c.directory.Directory(), who)
}

// attempt is one call of a primary.
type attempt func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error)

// ask repeats an attempt until its result is known.
func (c *Client) ask(ctx context.Context, op, key string, f attempt) error {
	delay := firstRetryDelay
	for {
		changed := c.directory.Changed()
		err := c.try(ctx, key, f)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return inDoubt(op, err)
		case <-changed:
		case <-time.After(delay):
		}
		delay = min(2*delay, lastRetryDelay)
	}
}

// try makes one attempt. It returns nil once the result is known.
func (c *Client) try(ctx context.Context, key string, f attempt) error {
	directory := c.directory.Directory()
	if len(directory.GetViews()) == 0 {
		return c.again("noView", nil)
	}
	view := viewOf(directory, Shard(key, len(directory.GetViews())))
	primary := c.book.ledger(directory, view.GetPrimary())
	if primary == nil {
		return c.again("noPrimary", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	code, err := f(ctx, primary, view)
	switch {
	case err != nil:
		return c.again("unreachable", err)
	case code == wire.LedgerError_LEDGER_ERROR_STALE_VIEW:
		return c.again("staleView", nil)
	case code == wire.LedgerError_LEDGER_ERROR_IN_DOUBT:
		return c.again("inDoubt", nil)
	case code == wire.LedgerError_LEDGER_ERROR_NOT_CURRENT:
		return c.again("notCurrent", nil)
	}
	return nil
}

// again counts a retry by reason.
func (c *Client) again(reason string, err error) error {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
	if err == nil {
		err = eris.New(reason)
	}
	return err
}
