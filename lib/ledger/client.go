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
	// attemptTimeout bounds one attempt of a request.
	attemptTimeout = 2 * time.Second
	// The delay between attempts doubles from initialRetryDelay up to
	// maxRetryDelay.
	initialRetryDelay = 5 * time.Millisecond
	maxRetryDelay     = 200 * time.Millisecond
)

// Client gives an entry access to the ledger. It retries each request in the
// name of the same incarnation until the result is known. If ctx ends first, it
// returns an *Error of KindInDoubt.
type Client struct {
	self        *wire.Incarnation
	directory   Directory
	memberIndex *memberIndex
	scope       tally.Scope
	claims      atomic.Uint64
}

// NewClient returns a client for the entry incarnation self.
func NewClient(self *wire.Incarnation, directory Directory, client *http.Client, scope tally.Scope) *Client {
	return &Client{self: self, directory: directory, memberIndex: newMemberIndex(client), scope: scope.SubScope("ledger")}
}

// NextClaim returns a new claim number. Each job needs its own.
func (c *Client) NextClaim() uint64 { return c.claims.Add(1) }

// Hold claims the key in q. The client fills in shard, epoch and holder. The
// digest of 32 bytes identifies the submission's content.
func (c *Client) Hold(ctx context.Context, q *wire.HoldRequest) (*wire.HoldReply, error) {
	return c.hold(ctx, q)
}

// Takeover claims the key of an entry that was declared dead. The record in
// the reply names the current holder; it is absent if the key is free.
func (c *Client) Takeover(ctx context.Context, key string, claim uint64) (*wire.HoldReply, error) {
	return c.hold(ctx, &wire.HoldRequest{Key: key, Claim: claim, Takeover: true})
}

func (c *Client) hold(ctx context.Context, q *wire.HoldRequest) (reply *wire.HoldReply, err error) {
	q.Holder = c.self
	err = c.retry(ctx, "hold", q.GetKey(), func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error) {
		q.Shard, q.Epoch = view.GetShard(), view.GetEpoch()
		reply, err = primary.Hold(ctx, q)
		return reply.GetError(), err
	})
	return reply, err
}

// Finish records the outcome in q. The client fills in shard, epoch and
// holder. The record in the reply is the one in effect.
func (c *Client) Finish(ctx context.Context, q *wire.FinishRequest) (reply *wire.FinishReply, err error) {
	q.Holder = c.self
	err = c.retry(ctx, "finish", q.GetKey(), func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error) {
		q.Shard, q.Epoch = view.GetShard(), view.GetEpoch()
		reply, err = primary.Finish(ctx, q)
		return reply.GetError(), err
	})
	return reply, err
}

// Look reads the record of key.
func (c *Client) Look(ctx context.Context, key string) (reply *wire.LookReply, err error) {
	err = c.retry(ctx, "look", key, func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error) {
		reply, err = primary.Look(ctx, &wire.LookRequest{Shard: view.GetShard(), Epoch: view.GetEpoch(), Key: key})
		return reply.GetError(), err
	})
	return reply, err
}

// IsDead reports whether an incarnation was declared dead.
func (c *Client) IsDead(inc *wire.Incarnation) bool {
	return c.memberIndex.isDead(c.directory.Directory(), inc)
}

// attempt sends a request to a shard's primary once.
type attempt func(ctx context.Context, primary wire.Ledger, view *wire.View) (wire.LedgerError, error)

// retry repeats an attempt until its result is known or ctx ends. It retries
// without delay when the directory changes.
func (c *Client) retry(ctx context.Context, op, key string, f attempt) error {
	delay := initialRetryDelay
	for {
		changed := c.directory.Changed()
		err := c.tryOnce(ctx, key, f)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return inDoubt(op, err)
		case <-changed:
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// tryOnce makes one attempt. It returns nil if the result is known.
func (c *Client) tryOnce(ctx context.Context, key string, f attempt) error {
	directory := c.directory.Directory()
	if len(directory.GetViews()) == 0 {
		return c.countRetry("noView", nil)
	}
	view := viewOf(directory, ShardOf(key, len(directory.GetViews())))
	primary := c.memberIndex.ledgerClient(directory, view.GetPrimary())
	if primary == nil {
		return c.countRetry("noPrimary", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	code, err := f(ctx, primary, view)
	switch {
	case err != nil:
		return c.countRetry("unreachable", err)
	case code == wire.LedgerError_LEDGER_ERROR_STALE_VIEW:
		return c.countRetry("staleView", nil)
	case code == wire.LedgerError_LEDGER_ERROR_IN_DOUBT:
		return c.countRetry("inDoubt", nil)
	case code == wire.LedgerError_LEDGER_ERROR_NOT_CURRENT:
		return c.countRetry("notCurrent", nil)
	}
	return nil
}

// countRetry counts a retry by reason and returns err, or an error with the
// reason if err is nil.
func (c *Client) countRetry(reason string, err error) error {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
	if err == nil {
		err = eris.New(reason)
	}
	return err
}
