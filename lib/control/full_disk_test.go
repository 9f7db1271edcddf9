package control

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/wire"
)

// limitedDisk is a data folder that refuses writes while its disk is full.
type limitedDisk struct {
	quorum.Folder
	openFolder quorum.OpenFunc
	full       atomic.Bool
}

// openFunc returns the function that opens the folder, nil for a relay.
func (d *limitedDisk) openFunc() quorum.OpenFunc {
	if d.openFolder == nil {
		return nil
	}
	return d.open
}

func (d *limitedDisk) open() (quorum.Folder, error) {
	folder, err := d.openFolder()
	d.Folder = folder
	return d, err
}

func (d *limitedDisk) Replace(name string, b []byte) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return d.Folder.Replace(name, b)
}

// Append leaves a part of the data behind if the disk is full.
func (d *limitedDisk) Append(name string, b []byte) error {
	if !d.full.Load() {
		return d.Folder.Append(name, b)
	}
	if err := d.Folder.Append(name, b[:rand.N(len(b))]); err != nil {
		return err
	}
	return syscall.ENOSPC
}

// leader waits until a host leads and returns its number.
func (g *hostGroup) leader() int {
	g.t.Helper()
	for range 200 {
		for host, h := range g.hosts {
			if h.control.readAsLeader(g.t.Context(), func(*state, time.Time) {}) == nil {
				return host
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("no leader")
	return 0
}

// TestPublishWithFullDisks guards against changes that are refused or stay
// unanswered while the leader's disk is full, and after the disks were: each
// call is acknowledged in time through any host, at its first attempt, and read
// back from all.
func TestPublishWithFullDisks(t *testing.T) {
	g := newHostGroup(t, 4, 1)
	g.publish(0, 1, "first")
	version := uint64(1)
	for range 2 {
		leader := g.leader()
		g.disks[leader].full.Store(true)
		for _, host := range []int{leader, 4, (leader + 1) % 4} {
			version++
			began := time.Now()
			reply, err := g.client(host).Publish(t.Context(), &wire.PublishRequest{
				DeclaredVersion: version, Source: fmt.Append(nil, version), Services: []*wire.Service{{Name: "sizing", Kinds: []*wire.Kind{{Name: "one"}}}},
			})
			g.is.NoErr(err)
			g.is.True(reply.GetAccepted())
			g.is.True(time.Since(began) < 4*time.Second)
			for host := range g.hosts {
				g.is.Equal(g.newest(host).GetVersion(), version)
			}
		}
		g.disks[leader].full.Store(false)
		time.Sleep(time.Second) // the folder is opened again
	}
}
