package metric

import (
	"context"

	"github.com/twitchtv/twirp"
)

// Hooks returns server hooks that increment the counter requests for each
// request, tagged with its method, such as Agent.Start. As each request has one
// reply, it counts the replies too.
func (r *Registry) Hooks() *twirp.ServerHooks {
	requests := &Counters{scope: r.scope, name: "requests", tag: tagMethod}
	return &twirp.ServerHooks{RequestRouted: func(ctx context.Context) (context.Context, error) {
		service, _ := twirp.ServiceName(ctx)
		method, _ := twirp.MethodName(ctx)
		requests.Inc(service + "." + method)
		return ctx, nil
	}}
}
