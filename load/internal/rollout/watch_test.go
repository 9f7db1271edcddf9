package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// status is what a leader says with its own versions and that of one member.
func status(config, directory, member uint64) *wire.StatusReply {
	return &wire.StatusReply{
		Id: "control1", Current: true,
		Directory: &wire.Directory{Version: directory, ConfigVersion: config},
		Members: []*wire.MemberStatus{{
			Member:           &wire.Member{Incarnation: &wire.Incarnation{Id: "worker1", Number: 7}},
			DirectoryVersion: member,
		}},
	}
}

func TestWatchTimesUntilTheLastMember(t *testing.T) {
	is := is.New(t)
	w := &watch{members: map[uint64]uint64{}, hosts: map[string]uint64{}}
	accepted := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	w.expect(3, accepted)
	w.take(status(2, 20, 20), accepted.Add(time.Second))
	w.take(status(3, 21, 20), accepted.Add(2*time.Second))
	is.Equal(w.left(), 1) // the member lacks it
	w.take(status(4, 22, 21), accepted.Add(3*time.Second))
	is.Equal(w.left(), 0)
	is.Equal(w.lags, []time.Duration{3 * time.Second})
}

func TestWatchSeesWhatReverts(t *testing.T) {
	is := is.New(t)
	w := &watch{members: map[uint64]uint64{}, hosts: map[string]uint64{}}
	w.take(status(4, 22, 21), time.Time{})
	w.take(status(4, 22, 22), time.Time{})
	is.Equal(w.reverted, 0)
	w.take(status(3, 22, 20), time.Time{})
	is.Equal(w.reverted, 2) // the host and the member
}
