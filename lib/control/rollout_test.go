package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func TestRolloutReportsOnce(t *testing.T) {
	is := is.New(t)
	accepted := time.UnixMilli(1_000)
	m := &machine{state: &wire.ControlState{}, activeConfig: &wire.Configuration{}}
	accept := func(version uint64) {
		m.state.Version++
		m.activeConfig = &wire.Configuration{Version: version}
		m.state.Changes = append(m.state.Changes, &wire.KeptChange{Change: &wire.Change{Version: version, AcceptedAtMillis: accepted.UnixMilli()}})
	}
	r := rollout{}
	renew := func(number, directory uint64) (time.Duration, bool) {
		q := &wire.RenewRequest{Member: &wire.Member{Incarnation: &wire.Incarnation{Number: number}}, DirectoryVersion: directory}
		return r.observe(m, q, accepted.Add(time.Second))
	}
	accept(3)
	_, ok := renew(1, 1)
	is.True(!ok) // first renewal
	accept(4)
	_, ok = renew(1, 1)
	is.True(!ok) // still uses the previous configuration
	took, ok := renew(1, 2)
	is.True(ok)
	is.Equal(took, time.Second)
	_, ok = renew(1, 2)
	is.True(!ok) // already reported
	_, ok = renew(2, 2)
	is.True(!ok) // joined after the change
	r.prune(nil)
	is.Equal(len(r), 0)
}
