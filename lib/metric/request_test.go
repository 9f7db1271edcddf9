package metric

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"github.com/twitchtv/twirp/ctxsetters"
)

func TestHooksCountRequestsByMethod(t *testing.T) {
	is := is.New(t)
	r := New("agent")
	hooks := r.Hooks()
	ctx := ctxsetters.WithMethodName(ctxsetters.WithServiceName(t.Context(), "Agent"), "Start")
	for range 3 {
		_, err := hooks.RequestRouted(ctx)
		is.NoErr(err)
	}
	name, _ := twirp.MethodName(ctx)
	is.Equal(name, "Start")
	r.Close() // flushes the counters
	page := httptest.NewRecorder()
	r.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(page.Body.String(), `skylarklane_agent_requests{method="Agent.Start"} 3`))
}
