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

	"skylarklane.example/lib/wire"
)

// fakeControl answers renewals as it is told.
type fakeControl struct {
	wire.Control
	mu    sync.Mutex
	reply *wire.RenewReply
	asked int
}

func (f *fakeControl) Renew(context.Context, *wire.RenewRequest) (*wire.RenewReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return f.reply, nil
}

func startControl(t *testing.T, reply *wire.RenewReply) (*fakeControl, string) {
	f := &fakeControl{reply: reply}
	server := httptest.NewServer(wire.NewControlServer(f))
	t.Cleanup(server.Close)
	return f, strings.TrimPrefix(server.URL, "http://")
}

func newFollower(control ...string) *Follower {
	member := &wire.Member{Incarnation: NewIncarnation("worker1")}
	return New(http.DefaultClient, control, member, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	leader, leaderAddress := startControl(t, &wire.RenewReply{LeaseMillis: 60_000})
	other, otherAddress := startControl(t, &wire.RenewReply{Leader: leaderAddress})
	f := newFollower(otherAddress, leaderAddress)
	f.renew(t.Context())
	is.True(f.Current())
	f.renew(t.Context())
	is.Equal(leader.asked, 2)
	is.Equal(other.asked, 1) // the leader is asked directly then
}

func TestNeverBack(t *testing.T) {
	is := is.New(t)
	f := newFollower("127.0.0.1:1")
	for _, version := range []uint64{5, 3, 6} {
		f.accept(time.Now(), &wire.RenewReply{LeaseMillis: 1000, Directory: &wire.Directory{Version: version}})
		is.Equal(f.Directory().GetVersion(), max(5, version))
	}
	f.accept(time.Now(), &wire.RenewReply{LeaseMillis: 1000, Delta: &wire.DirectoryDelta{Since: 4, Version: 9}})
	is.Equal(f.Directory().GetVersion(), uint64(6)) // a delta to another version
	f.accept(time.Now(), &wire.RenewReply{LeaseMillis: 1000, Delta: &wire.DirectoryDelta{Since: 6, Version: 9}})
	is.Equal(f.Directory().GetVersion(), uint64(9))
}

func TestDead(t *testing.T) {
	is := is.New(t)
	_, address := startControl(t, &wire.RenewReply{Dead: true})
	f := newFollower(address)
	f.accept(time.Now(), &wire.RenewReply{LeaseMillis: 60_000})
	is.True(f.Current())
	f.Run(t.Context()) // it ends by itself
	<-f.Dead()
	is.True(!f.Current())
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	one, two := NewIncarnation("one"), NewIncarnation("two")
	again := NewIncarnation("one")
	old := &wire.Directory{
		Version:       1,
		Members:       []*wire.Member{{Incarnation: one}, {Incarnation: two}},
		Views:         []*wire.View{{Shard: 0, Epoch: 1}, {Shard: 1, Epoch: 1}},
		ConfigVersion: 3,
	}
	d := merge(old, &wire.DirectoryDelta{
		Since: 1, Version: 4,
		Members: []*wire.Member{{Incarnation: again}},
		Gone:    []*wire.Incarnation{one, two},
		Views:   []*wire.View{{Shard: 1, Epoch: 2}},
	})
	is.Equal(len(d.GetMembers()), 1)
	is.Equal(d.GetMembers()[0].GetIncarnation(), again)
	is.Equal(len(d.GetDead()), 2)
	is.Equal(d.GetViews()[0].GetEpoch(), uint64(1))
	is.Equal(d.GetViews()[1].GetEpoch(), uint64(2))
	is.Equal(d.GetConfigVersion(), uint64(3))
	is.Equal(old.GetViews()[1].GetEpoch(), uint64(1)) // the old one stays
}
