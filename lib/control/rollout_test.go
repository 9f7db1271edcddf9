package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func TestRolloutTellsOnce(t *testing.T) {
	is := is.New(t)
	accepted := time.UnixMilli(1_000)
	m := &machine{state: &wire.ControlState{}, inForce: &wire.Configuration{}}
	accept := func(version uint64) {
		m.state.Version++
		m.inForce = &wire.Configuration{Version: version}
		m.state.Changes = append(m.state.Changes, &wire.KeptChange{Change: &wire.Change{Version: version, AcceptedAtMillis: accepted.UnixMilli()}})
	}
	r := rollout{}
	renew := func(number, directory uint64) (time.Duration, bool) {
		q := &wire.RenewRequest{Member: &wire.Member{Incarnation: &wire.Incarnation{Number: number}}, DirectoryVersion: directory}
		return r.follow(m, q, accepted.Add(time.Second))
	}
	accept(3)
	_, ok := renew(1, 1)
	is.True(!ok) // seen for the first time
	accept(4)
	_, ok = renew(1, 1)
	is.True(!ok) // follows the last one
	took, ok := renew(1, 2)
	is.True(ok)
	is.Equal(took, time.Second)
	_, ok = renew(1, 2)
	is.True(!ok) // is known
	_, ok = renew(2, 2)
	is.True(!ok) // has joined since
	r.prune(nil)
	is.Equal(len(r), 0)
}
