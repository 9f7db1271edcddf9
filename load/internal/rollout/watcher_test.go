package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// leaderStatus returns the status of a leader with its own versions and the
// version of one member.
func leaderStatus(config, directory, member uint64) *wire.StatusReply {
	return &wire.StatusReply{
		Id: "control1", Current: true,
		Directory: &wire.Directory{Version: directory, ConfigVersion: config},
		Members: []*wire.MemberStatus{{
			Member:           &wire.Member{Incarnation: &wire.Incarnation{Id: "worker1", Number: 7}},
			DirectoryVersion: member,
		}},
	}
}

func TestWatcherTimesUntilTheLastMember(t *testing.T) {
	is := is.New(t)
	w := &watcher{memberVersions: map[uint64]uint64{}, hostVersions: map[string]uint64{}}
	accepted := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	w.expect(3, accepted)
	w.addStatus(leaderStatus(2, 20, 20), accepted.Add(time.Second))
	w.addStatus(leaderStatus(3, 21, 20), accepted.Add(2*time.Second))
	is.Equal(w.pendingCount(), 1) // the member does not have the change yet
	w.addStatus(leaderStatus(4, 22, 21), accepted.Add(3*time.Second))
	is.Equal(w.pendingCount(), 0)
	is.Equal(w.delays, []time.Duration{3 * time.Second})
}

func TestWatcherCountsReverts(t *testing.T) {
	is := is.New(t)
	w := &watcher{memberVersions: map[uint64]uint64{}, hostVersions: map[string]uint64{}}
	w.addStatus(leaderStatus(4, 22, 21), time.Time{})
	w.addStatus(leaderStatus(4, 22, 22), time.Time{})
	is.Equal(w.reverted, 0)
	w.addStatus(leaderStatus(3, 22, 20), time.Time{})
	is.Equal(w.reverted, 2) // the host and the member
}
