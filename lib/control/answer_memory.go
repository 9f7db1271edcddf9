package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
)

// forwardedFactor is the memory for each byte of a reply that another host sends: its
// text while it is read, and what it is decoded to.
const forwardedFactor = 16

// unknownReplyBytes is charged for a reply of another host if this one does not know the
// configuration, as hosts outside of the group.
const unknownReplyBytes = 8 << 20

// reserveUnknown charges for a reply of the leader that has the configuration, if this
// host does not know any version to compare it with.
func reserveUnknown(ctx context.Context, version uint64) error {
	if version != 0 {
		return nil
	}
	return reserveAnswer(ctx, unknownReplyBytes)
}

// reserveForwarded charges for a reply of the leader with all changes that are retained.
func (c *Control) reserveForwarded(ctx context.Context) error {
	own := c.state.machine.published.Load()
	if err := reserveUnknown(ctx, own.config.GetVersion()); err != nil {
		return err
	}
	return reserveAnswer(ctx, own.retainedBytes*forwardedFactor)
}

// reserveDecoded charges for the decoded contents of changes.
func reserveDecoded(ctx context.Context, kept []*wire.KeptChange) error {
	n := int64(0)
	for _, one := range kept {
		n += wire.DecodedMemory(&wire.Configuration{}, one.GetContent())
	}
	return reserveAnswer(ctx, n)
}

func reserveAnswer(ctx context.Context, n int64) error {
	if !process.ReserveAnswer(ctx, n) {
		return twirp.Unavailable.Error("this host has no memory left for the answer")
	}
	return nil
}
