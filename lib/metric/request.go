package metric

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
)

// requestCounters counts the requests that a process serves, by method.
type requestCounters struct {
	scope    tally.Scope
	counters sync.Map
}

// Hooks returns server hooks that count each request in the counter requests,
// tagged with its method, such as Agent.Start. Each request has one reply.
func (r *Registry) Hooks() *twirp.ServerHooks {
	c := &requestCounters{scope: r.scope}
	return &twirp.ServerHooks{RequestRouted: c.count}
}

func (c *requestCounters) count(ctx context.Context) (context.Context, error) {
	service, _ := twirp.ServiceName(ctx)
	method, _ := twirp.MethodName(ctx)
	c.counter(service + "." + method).Inc(1)
	return ctx, nil
}

func (c *requestCounters) counter(method string) tally.Counter {
	if counter, ok := c.counters.Load(method); ok {
		return counter.(tally.Counter)
	}
	counter := c.scope.Tagged(map[string]string{"method": method}).Counter("requests")
	c.counters.Store(method, counter)
	return counter
}
