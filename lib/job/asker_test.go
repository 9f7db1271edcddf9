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

// TestUnchangedDirectory guards against members that process the whole directory at
// each reading: in a fleet of 300, all members together did so 3,000 times a second.
func TestUnchangedDirectory(t *testing.T) {
	is := is.New(t)
	var entries, agents []*wire.Member
	for i := range 60 {
		entries = append(entries, newTestMember(fmt.Sprintf("e%d", i)))
	}
	for i := range 240 {
		agents = append(agents, newTestMember(fmt.Sprintf("a%d", i)))
	}
	self := newTestMember("self").GetIncarnation()
	claims := NewClaims(func() *wire.Incarnation { return self }, clock.Boot())
	list := func(members *[]*wire.Member) func() []*wire.Member {
		return func() []*wire.Member { return *members }
	}
	a := NewAsker(claims, list(&entries), list(&agents), &http.Client{}, clock.Boot(), slog.New(slog.DiscardHandler), tally.NoopScope)
	defer a.cancel()
	is.Equal(testing.AllocsPerRun(10, a.updateView), 0.0)

	owners := func() []*wire.Member { return a.view.owners(hashOf("job"), ownersPerID) }
	owner := owners()[0]
	agents = agents[:0:0]
	a.updateView()
	is.Equal(len(owners()), 0)
	agents = append(agents, owner)
	a.updateView()
	is.Equal(owners(), agents)
	p := a.peer(owner)
	a.recordAnswer(t.Context(), p, errIncompleteReply)
	is.Equal(len(owners()), 0)
}

func newTestMember(id string) *wire.Member {
	return &wire.Member{Incarnation: &wire.Incarnation{Id: id, Number: 1}, Address: id}
}
