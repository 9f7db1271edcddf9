package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestIsolatedLeader checks that a leader that receives no renewals declares no
// member dead, neither meanwhile nor when renewals resume.
func TestIsolatedLeader(t *testing.T) {
	const length = 2 * time.Second
	begin := time.Unix(1000, 0)
	members := []*wire.Member{
		{Incarnation: &wire.Incarnation{Id: "worker1", Number: 1}},
		{Incarnation: &wire.Incarnation{Id: "worker2", Number: 2}},
	}
	tests := []struct {
		name string
		// renewals are the times, in seconds, at which worker1 renews its
		// lease.
		renewals []float64
		at       float64
		dead     int
	}{
		{"within the first lease", nil, 1, 0},
		{"one member does not renew", []float64{0.5, 1, 1.5, 2}, 2.1, 1},
		{"no renewals", nil, 10, 0},
		{"all renewals stop, one member's a little later", []float64{0.5}, 2.2, 0},
		{"renewals resume", []float64{10}, 11, 0},
		{"renewals resume for one member only", []float64{10, 10.5, 11, 11.5, 12}, 12.1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeases(length)
			l.grantAll(members, begin)
			after := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
			for _, seconds := range test.renewals {
				l.recordRenewal(members, members[0].GetIncarnation(), 0, after(seconds))
			}
			dead := l.expired(members, after(test.at))
			is.New(t).Equal(len(dead), test.dead)
		})
	}
}
