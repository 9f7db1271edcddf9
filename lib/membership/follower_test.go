package membership

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// fakeControl is a control host that returns preset replies.
type fakeControl struct {
	wire.Control
	mu    sync.Mutex
	reply *wire.RenewReply
	// forwardReply, if set, is the reply to renewals that ask to be forwarded.
	forwardReply *wire.RenewReply
	calls        int
}

func (f *fakeControl) set(reply *wire.RenewReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reply = reply
}

func (f *fakeControl) Renew(_ context.Context, q *wire.RenewRequest) (*wire.RenewReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if q.GetForward() && f.forwardReply != nil {
		return f.forwardReply, nil
	}
	return f.reply, nil
}

func startControl(t *testing.T, reply *wire.RenewReply) (*fakeControl, string) {
	f := &fakeControl{reply: reply}
	server := httptest.NewServer(wire.NewControlServer(f))
	t.Cleanup(server.Close)
	return f, strings.TrimPrefix(server.URL, "http://")
}

func newFollower(control ...string) *Follower {
	return newFollowerOn(clock.Boot(), control...)
}

// newFollowerOn returns a follower that measures its lease on c.
func newFollowerOn(c clock.Clock, control ...string) *Follower {
	member := &wire.Member{Incarnation: NewIncarnation("worker1")}
	return New(http.DefaultClient, control, member, c, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	leader, leaderAddress := startControl(t, &wire.RenewReply{LeaseMillis: 60_000})
	other, otherAddress := startControl(t, &wire.RenewReply{Leader: leaderAddress})
	f := newFollower(otherAddress, leaderAddress)
	f.renew(t.Context())
	is.True(f.Current())
	f.renew(t.Context())
	is.Equal(leader.calls, 2)
	is.Equal(other.calls, 1) // the second renewal goes directly to the leader
}

// TestLeaseEndsDuringSuspension guards against a process that resumes after a
// suspension of its machine and acts under a lease that ended meanwhile.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		current   bool
	}{
		{"shorter than the lease", 1500 * time.Millisecond, true},
		{"as long as the lease", 2 * time.Second, false},
		{"longer", time.Minute, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			f := newFollowerOn(clock.Func(func() time.Duration { return now }))
			f.applyReply(now, &wire.RenewReply{LeaseMillis: 2000})
			is.True(f.Current())
			now += test.suspended // the monotonic clock stands still
			is.Equal(f.Current(), test.current)
		})
	}
}

func TestDirectoryVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	f := newFollower("127.0.0.1:1")
	for _, version := range []uint64{5, 3, 6} {
		f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 1000, Directory: &wire.Directory{Version: version}})
		is.Equal(f.Directory().GetVersion(), max(5, version))
	}
	f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 1000, Delta: &wire.DirectoryDelta{Since: 4, Version: 9}})
	is.Equal(f.Directory().GetVersion(), uint64(6)) // the delta is based on another version
	f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 1000, Delta: &wire.DirectoryDelta{Since: 6, Version: 9}})
	is.Equal(f.Directory().GetVersion(), uint64(9))
}

func TestDeclaredDead(t *testing.T) {
	is := is.New(t)
	_, address := startControl(t, &wire.RenewReply{Dead: true})
	f := newFollower(address)
	f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 60_000})
	is.True(f.Current())
	f.Run(t.Context()) // returns although the context has not ended
	<-f.Dead()
	is.True(!f.Current())
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	one, two := NewIncarnation("one"), NewIncarnation("two")
	restarted := NewIncarnation("one")
	old := &wire.Directory{
		Version:       1,
		Members:       []*wire.Member{{Incarnation: one}, {Incarnation: two}},
		Views:         []*wire.View{{Shard: 0, Epoch: 1}, {Shard: 1, Epoch: 1}},
		ConfigVersion: 3,
	}
	d, err := merge(old, &wire.DirectoryDelta{
		Since: 1, Version: 4,
		Members: []*wire.Member{{Incarnation: restarted}},
		Gone:    []*wire.Incarnation{one, two},
		Views:   []*wire.View{{Shard: 1, Epoch: 2}},
	})
	is.NoErr(err)
	is.Equal(len(d.GetMembers()), 1)
	is.Equal(d.GetMembers()[0].GetIncarnation(), restarted)
	is.Equal(len(d.GetDead()), 2)
	is.Equal(d.GetViews()[0].GetEpoch(), uint64(1))
	is.Equal(d.GetViews()[1].GetEpoch(), uint64(2))
	is.Equal(d.GetConfigVersion(), uint64(3))
	is.Equal(old.GetViews()[1].GetEpoch(), uint64(1)) // the old directory is not modified
}

// TestRefresh guards against a directory that passes for newer than a call though
// its renewal was sent before.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	f := newFollower("127.0.0.1:1")
	before := f.clock.Now()
	refreshed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	f.applyReply(before, &wire.RenewReply{LeaseMillis: 60_000})
	is.True(f.Refresh(ctx) != nil)
	go func() { refreshed <- f.Refresh(t.Context()) }()
	time.Sleep(10 * time.Millisecond)
	f.mu.Lock()
	f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 60_000})
	f.mu.Unlock()
	is.NoErr(<-refreshed)
}

// TestPackedConfiguration guards against a configuration that is lost, and with it
// the version of the directory, because its packed form can't be read.
func TestPackedConfiguration(t *testing.T) {
	packed := (&wire.Configuration{Version: 4, Services: []*wire.Service{{Name: "sizing"}}}).Pack()
	tests := []struct {
		name    string
		packed  []byte
		version uint64
		config  uint64
	}{
		{"whole", packed, 2, 4},
		{"cut off", packed[:len(packed)/2], 1, 3},
		{"empty", []byte{}, 1, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFollower("127.0.0.1:1")
			f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 60_000, Directory: &wire.Directory{Version: 1, ConfigVersion: 3}})
			f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 60_000, Delta: &wire.DirectoryDelta{Since: 1, Version: 2, PackedConfiguration: test.packed}})
			is.Equal(f.Directory().GetVersion(), test.version)
			is.Equal(f.Directory().GetConfigVersion(), test.config)
		})
	}
}

// TestRejoinsAfterDeclaredDead checks that a member declared dead continues
// under a new incarnation.
func TestRejoinsAfterDeclaredDead(t *testing.T) {
	is := is.New(t)
	control, address := startControl(t, &wire.RenewReply{Dead: true})
	f := newFollower(address)
	f.applyReply(f.clock.Now(), &wire.RenewReply{LeaseMillis: 60_000, Directory: &wire.Directory{Version: 9, ConfigVersion: 4}})
	before := f.Member().GetIncarnation()
	var after *wire.Incarnation
	f.EnableRejoin(func(inc *wire.Incarnation) {
		after = inc
		is.Equal(f.Member().GetIncarnation(), inc) // f is not locked
	})
	f.renew(t.Context())
	is.True(after != nil && !wire.Same(after, before))
	is.True(!f.Current())
	is.Equal(f.Directory().GetConfigVersion(), uint64(4)) // the known configuration is kept
	is.Equal(f.request(f.Directory()).GetDirectoryVersion(), uint64(0))
	control.set(&wire.RenewReply{LeaseMillis: 60_000, Directory: &wire.Directory{Version: 10, ConfigVersion: 4}})
	f.renew(t.Context())
	is.True(f.Current())
	is.Equal(f.request(f.Directory()).GetDirectoryVersion(), uint64(10))
}

// TestUsesHostsReportedByGroup checks that a host reported by the control group
// is asked after the seed that reported it was replaced.
func TestUsesHostsReportedByGroup(t *testing.T) {
	is := is.New(t)
	_, other := startControl(t, &wire.RenewReply{LeaseMillis: 60_000})
	_, seed := startControl(t, &wire.RenewReply{LeaseMillis: 60_000, Hosts: []string{other}, HostsVersion: 3})
	f := newFollower(seed)
	f.renew(t.Context())
	is.Equal(f.request(f.Directory()).GetHostsVersion(), uint64(3))
	f.SetSeeds([]string{"127.0.0.1:1"})
	f.leader = ""
	for range 4 {
		f.renew(t.Context())
		is.Equal(f.leader, other)
	}
	is.True(!f.LastGrantAt().IsZero())
}

// TestForwardsWhenLeaderUnreachable checks that renewals go through another
// control host while the member can't reach the leader.
func TestForwardsWhenLeaderUnreachable(t *testing.T) {
	is := is.New(t)
	unreachable := "127.0.0.1:1"
	control, address := startControl(t, &wire.RenewReply{Leader: unreachable})
	control.forwardReply = &wire.RenewReply{LeaseMillis: 60_000}
	f := newFollower(address)
	f.renew(t.Context())
	is.True(f.Current())
	is.Equal(control.calls, 2) // one direct renewal, one to be forwarded
	f.renew(t.Context())
	is.Equal(control.calls, 3)
}
