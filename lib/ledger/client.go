package ledger

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindNoView means that no view of the shard is known.
	KindNoView Kind = iota + 1
	// KindUnreachable means that the primary did not answer.
	KindUnreachable
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client is an entry's way to the ledger.
type Client struct {
	self      *wire.Incarnation
	directory Directory
	client    *http.Client
}

// NewClient returns a client for the entry incarnation self.
func NewClient(self *wire.Incarnation, directory Directory, client *http.Client) *Client {
	return &Client{self: self, directory: directory, client: client}
}

// Hold claims key for this entry.
func (c *Client) Hold(ctx context.Context, key string, digest []byte, submittedAtMillis int64, spec *wire.JobSpec) (*wire.HoldReply, error) {
	primary, view, err := c.primary("hold", key)
	if err != nil {
		return nil, err
	}
	reply, err := primary.Hold(ctx, &wire.HoldRequest{
		Shard: view.GetShard(), Epoch: view.GetEpoch(), Key: key, Digest: digest,
		Holder: c.self, SubmittedAtMillis: submittedAtMillis, Spec: spec,
	})
	return reply, unreachable("hold", err)
}

// Finish records the outcome of a key that this entry holds.
func (c *Client) Finish(ctx context.Context, key string, outcome *wire.Outcome) (*wire.FinishReply, error) {
	primary, view, err := c.primary("finish", key)
	if err != nil {
		return nil, err
	}
	reply, err := primary.Finish(ctx, &wire.FinishRequest{
		Shard: view.GetShard(), Epoch: view.GetEpoch(), Key: key, Holder: c.self, Outcome: outcome,
	})
	return reply, unreachable("finish", err)
}

// Look tells what the ledger knows of key.
func (c *Client) Look(ctx context.Context, key string) (*wire.LookReply, error) {
	primary, view, err := c.primary("look", key)
	if err != nil {
		return nil, err
	}
	reply, err := primary.Look(ctx, &wire.LookRequest{Shard: view.GetShard(), Epoch: view.GetEpoch(), Key: key})
	return reply, unreachable("look", err)
}

func (c *Client) primary(op, key string) (wire.Ledger, *wire.View, error) {
	directory := c.directory.Directory()
	if len(directory.GetViews()) == 0 {
		return nil, nil, &Error{Op: op, Kind: KindNoView, Err: eris.New("no view of the shard is known yet")}
	}
	view := directory.GetViews()[Shard(key, len(directory.GetViews()))]
	address := addressOf(directory, view.GetPrimary())
	return wire.NewLedgerProtobufClient("http://"+address, c.client), view, nil
}

func unreachable(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindUnreachable, Err: eris.Wrap(err, "the primary did not answer")}
}
