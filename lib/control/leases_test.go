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
		// heard are the seconds at which worker1 renews its lease.
		heard []int
		at    int
		dead  int
	}{
		{"everyone in time", nil, 1, 0},
		{"one silent member", []int{1, 2}, 3, 1},
		{"nobody is heard", nil, 10, 0},
		{"heard again", []int{10}, 11, 0},
		{"heard again, one stays silent", []int{10, 11, 12}, 13, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeases(length)
			l.grantAll(members, begin)
			for _, second := range test.heard {
				l.hear(members, members[0].GetIncarnation(), 0, begin.Add(time.Duration(second)*time.Second))
			}
			dead := l.expired(members, begin.Add(time.Duration(test.at)*time.Second))
			is.New(t).Equal(len(dead), test.dead)
		})
	}
}
