package quorum

import (
	"context"
	"net/http"

	"skylarklane.example/lib/wire"
)

// Client is the HTTP transport. It calls the Quorum service that a Node or Host
// implements.
type Client struct {
	client    *http.Client
	addresses map[string]string
}

// NewClient returns a transport. A host listed in peers is called at its
// address there, any other host at its address in the group's membership.
func NewClient(client *http.Client, peers []*wire.LogHost) *Client {
	c := &Client{client: client, addresses: map[string]string{}}
	for _, peer := range peers {
		c.addresses[peer.GetId()] = peer.GetAddress()
	}
	return c
}

// Meet implements Transport.
func (c *Client) Meet(ctx context.Context, to *wire.LogHost, q *wire.MeetRequest) (*wire.MeetReply, error) {
	return c.host(to).Meet(ctx, q)
}

// Vote implements Transport.
func (c *Client) Vote(ctx context.Context, to *wire.LogHost, q *wire.VoteRequest) (*wire.VoteReply, error) {
	return c.host(to).Vote(ctx, q)
}

// Append implements Transport.
func (c *Client) Append(ctx context.Context, to *wire.LogHost, q *wire.AppendRequest) (*wire.AppendReply, error) {
	return c.host(to).Append(ctx, q)
}

// Install implements Transport.
func (c *Client) Install(ctx context.Context, to *wire.LogHost, q *wire.InstallRequest) (*wire.InstallReply, error) {
	return c.host(to).Install(ctx, q)
}

func (c *Client) host(to *wire.LogHost) wire.Quorum {
	address := c.addresses[to.GetId()]
	if address == "" {
		address = to.GetAddress()
	}
	return wire.NewQuorumProtobufClient("http://"+address, c.client)
}
