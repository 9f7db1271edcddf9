package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/wire"
)

// Newest implements wire.Control.
func (c *Control) Newest(context.Context, *wire.NewestRequest) (*wire.NewestReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "not served yet")
}
