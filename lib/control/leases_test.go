package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestDeafLeader shows that a leader that nobody reaches declares nobody dead,
// also not once it is reached again.
func TestDeafLeader(t *testing.T) {
	const length = 2 * time.Second
	begin := time.Unix(1000, 0)
	members := []*wire.Member{
		{Incarnation: &wire.Incarnation{Id: "worker1", Number: 1}},
		{Incarnation: &wire.Incarnation{Id: "worker2", Number: 2}},
	}
	tests := []struct {
		name string
		// heard are the times at which worker1 renews its lease.
		heard []float64
		at    float64
		dead  int
	}{
		{"everyone in time", nil, 1, 0},
		{"one silent member", []float64{0.5, 1, 1.5, 2}, 2.1, 1},
		{"nobody is heard", nil, 10, 0},
		{"all fall silent, one a little later", []float64{0.5}, 2.2, 0},
		{"heard again", []float64{10}, 11, 0},
		{"heard again, one stays silent", []float64{10, 10.5, 11, 11.5, 12}, 12.1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeases(length)
			l.grantAll(members, begin)
			after := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
			for _, seconds := range test.heard {
				l.hear(members, members[0].GetIncarnation(), 0, after(seconds))
			}
			dead := l.expired(members, after(test.at))
			is.New(t).Equal(len(dead), test.dead)
		})
	}
}
