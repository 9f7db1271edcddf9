package entry

import (
	"context"
	"net/http"
	"time"

	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/wire"
)

const (
	claimInterval = 200 * time.Millisecond
	claimTimeout  = time.Second
	claimMax      = 64
)

// tokens holds the idle slots that this entry may start tasks on.
type tokens struct {
	follower *membership.Follower
	client   *http.Client
	idle     chan *wire.Token
}

func newTokens(follower *membership.Follower, client *http.Client) *tokens {
	return &tokens{follower: follower, client: client, idle: make(chan *wire.Token, 1<<16)}
}

func (t *tokens) loop(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		t.claim(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *tokens) claim(ctx context.Context) {
	for _, member := range t.follower.Directory().GetMembers() {
		if member.GetRole() != wire.Role_ROLE_AGENT {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		agent := wire.NewAgentProtobufClient("http://"+member.GetAddress(), t.client)
		reply, err := agent.Claim(ctx, &wire.ClaimRequest{Entry: t.follower.Member().GetIncarnation(), Max: claimMax})
		cancel()
		if err != nil {
			continue
		}
		for _, token := range reply.GetTokens() {
			t.idle <- token
		}
	}
}
