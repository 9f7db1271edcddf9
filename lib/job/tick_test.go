package job

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// TestUnchangedLinks guards against entries at rest whose processor time grows with the
// fleet, as they process all of its agents at each reading of the directory.
func TestUnchangedLinks(t *testing.T) {
	is := is.New(t)
	is.Equal(allocsOfReading(t, fleetSize), allocsOfReading(t, watchLimits.All+1))
}

// allocsOfReading returns the number of allocations of one reading of a directory of n
// agents that has not changed.
func allocsOfReading(t *testing.T, n int) float64 {
	var members []*wire.Member
	for i := range n {
		m := newTestMember(fmt.Sprintf("a%d", i))
		m.Role = wire.Role_ROLE_AGENT
		members = append(members, m)
	}
	d := New(Config{}, newTestMember("e").GetIncarnation(), func() []*wire.Member { return members }, &http.Client{}, clock.Boot(), slog.New(slog.DiscardHandler), tally.NoopScope)
	d.cancelCalls()
	t.Cleanup(d.calls.Wait)
	d.updateLinks(members)
	return testing.AllocsPerRun(10, func() {
		d.updateLinks(members)
		d.tick()
	})
}
