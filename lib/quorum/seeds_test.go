package quorum

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"skylarklane.example/lib/wire"
)

// newSeeded returns a cluster whose hosts are told the seeds alone. It starts
// the hosts named by ids; the id of a host is its address.
func newSeeded(t *testing.T, seeds []string, ids ...string) *cluster {
	c := newCluster(t)
	c.seeds = seeds
	for _, id := range ids {
		c.startNew(id, true)
	}
	return c
}

// startNew starts a host on an empty folder.
func (c *cluster) startNew(id string, found bool) {
	c.t.Helper()
	c.name(id)
	c.startWith(id, newMemoryFolder(), Config{Found: found})
}

// voters returns how many votes the leader's group has.
func (c *cluster) voters() int {
	c.t.Helper()
	count := 0
	_ = c.host(c.leader()).node.Peek(c.t.Context(), func(s Status) {
		for _, host := range s.Hosts {
			if host.Voter {
				count++
			}
		}
	})
	return count
}

// awaitVoters waits until the group has so many votes.
func (c *cluster) awaitVoters(count int) {
	c.t.Helper()
	for range 3000 {
		if c.voters() == count {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.explain()
	c.t.Fatal("the group has not the votes that are waited for")
}

func TestSeedsFound(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds []string
		ids   []string
	}{
		{"three seeds", three, three},
		{"a fourth", three, []string{"a", "b", "c", "d"}},
		{"a fourth that comes first", three, []string{"d", "c", "b", "a"}},
		{"one seed", []string{"a"}, []string{"a", "b", "c"}},
		{"the lowest address is no seed", []string{"b", "c", "d"}, []string{"a", "b", "c", "d"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSeeded(t, test.seeds, test.ids...)
				defer c.stopAll()
				c.propose("x")
				c.is.Equal(c.settled(), []string{"x"})
				c.is.Equal(c.voters(), len(test.ids))
			})
		})
	}
}

// TestSeedsWait requires that no group is founded before all seeds are there.
func TestSeedsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "d")
		defer c.stopAll()
		time.Sleep(time.Minute)
		for _, id := range []string{"a", "b", "d"} {
			c.is.Equal(c.termOf(id), uint64(0))
		}
		c.startNew("c", true)
		c.propose("x")
		c.is.Equal(c.settled(), []string{"x"})
	})
}

// TestSeedLosesFolder requires that one host with a new folder founds nothing,
// whether the others run or not.
func TestSeedLosesFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		c.settled()
		folders := map[string]*memoryFolder{}
		for _, id := range []string{"a", "b", "c", "d"} {
			folders[id] = c.host(id).folder
			c.stop(id)
		}
		c.startNew("a", false)
		time.Sleep(time.Minute)
		c.is.Equal(c.termOf("a"), uint64(0))
		for _, id := range []string{"b", "c", "d"} {
			c.startWith(id, folders[id], Config{})
		}
		c.propose("y")
		c.is.Equal(c.settled(), []string{"x", "y"})
		c.is.Equal(c.voters(), 4)
	})
}

// TestLossAfterRepair loses one folder, and another as soon as the first host
// has its vote back.
func TestLossAfterRepair(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		var want []string
		for round, id := range []string{"a", "b", "c", "d", "a", "d"} {
			want = append(want, "command"+string(rune('0'+round)))
			c.propose(want[round])
			c.stop(id)
			c.startNew(id, false)
			c.is.Equal(c.settled(), want)
			c.is.Equal(c.voters(), 4)
		}
	})
}

// TestSeedsChange requires that a host with seeds of which one alone still
// runs finds the group, and that a group none of whose hosts is a seed goes on.
func TestSeedsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		c.settled()
		for _, next := range []struct{ gone, comes string }{{"a", "e"}, {"b", "f"}, {"c", "g"}} {
			c.seeds = []string{next.gone, "d", "z"}
			c.stop(next.gone)
			c.unname(next.gone)
			c.startNew(next.comes, false)
			time.Sleep(time.Minute) // the one that is gone is removed
			c.awaitVoters(4)
		}
		c.is.Equal(c.settled(), []string{"x"})
		c.seeds = []string{"z", "g", "y"}
		c.startNew("h", false)
		c.awaitVoters(5)
		c.is.Equal(c.settled(), []string{"x"})
	})
}

// TestRejoins has a host that was removed while it was away come back, and
// join with a new folder in the same process.
func TestRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		c.settled()
		away := c.follower()
		before := c.folderOf(away)
		c.isolate(away, true)
		time.Sleep(time.Minute)
		c.is.Equal(c.voters(), 3)
		c.propose("y")
		c.isolate(away, false)
		c.awaitVoters(4)
		c.is.Equal(c.settled(), []string{"x", "y"})
		c.is.True(c.folderOf(away) != before)
	})
}

// TestHalves requires that two halves of two make no progress.
func TestHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		c.settled()
		c.split([]string{"a", "b"}, []string{"c", "d"}, true)
		time.Sleep(time.Minute)
		for _, id := range []string{"a", "b", "c", "d"} {
			c.is.Equal(kindOf(c.host(id).node.Read(t.Context(), func(uint64) {})), KindNotLeader)
			c.is.Equal(kindOf(c.host(id).node.Confirm(t.Context(), func(uint64) {})), KindNotLeader)
		}
		c.split([]string{"a", "b"}, []string{"c", "d"}, false)
		c.propose("y")
		c.is.Equal(c.settled(), []string{"x", "y"})
		c.is.Equal(c.voters(), 4)
	})
}

// TestAllStop kills all hosts at once, also while a change is under way.
func TestAllStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"a", "b", "c", "d"}
		c := newSeeded(t, three, ids...)
		defer c.stopAll()
		for round := range 10 {
			c.propose("command" + string(rune('0'+round)))
			folders := map[string]*memoryFolder{}
			for _, id := range ids {
				folders[id] = c.host(id).folder
				c.stop(id)
			}
			for _, id := range ids {
				c.startWith(id, folders[id], Config{})
			}
		}
		c.is.Equal(len(slices.Compact(c.settled())), 10)
	})
}

// TestDiskRefuses has a folder refuse writes for a while: the host stops taking
// part, and comes back by itself.
func TestDiskRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		c.settled()
		leader := c.leader()
		h := c.host(leader)
		h.folder.refuse(true)
		_, err := h.node.Propose(t.Context(), []byte("y"))
		c.is.Equal(kindOf(err), KindInDoubt)
		c.propose("z") // by another leader
		time.Sleep(time.Second)
		c.standsIn(h)
		h.folder.refuse(false)
		c.is.Equal(c.settled(), []string{"x", "z"})
		c.is.Equal(c.voters(), 4)
	})
}

// TestDamagedFolder requires that a host with a damaged folder joins anew, but
// only while the group goes on without it.
func TestDamagedFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, three...)
		defer c.stopAll()
		c.propose("x")
		c.settled()
		folders := map[string]*memoryFolder{}
		for _, id := range three {
			folders[id] = c.host(id).folder
			c.stop(id)
		}
		folders["a"].files[logFile][3]++
		whole, err := folders["a"].Read(identityFile)
		c.is.NoErr(err)
		c.startWith("a", folders["a"], Config{})
		c.startWith("b", folders["b"], Config{})
		time.Sleep(time.Minute)
		c.is.Equal(c.folderOf("a"), string(whole)) // b alone is no quorum
		c.startWith("c", folders["c"], Config{})
		c.is.Equal(c.settled(), []string{"x"})
		c.is.Equal(c.voters(), 3)
	})
}

// TestConfirm freezes a leader whose clock does not count the time: it may
// think that its lease stands, but confirms nothing.
func TestConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		leader := c.leader()
		node := c.host(leader).node
		c.is.NoErr(node.Confirm(t.Context(), func(uint64) {}))
		c.freeze(leader)
		time.Sleep(5 * time.Second)
		c.propose("y")
		c.isolate(leader, true) // it hears of no other leader yet
		time.Sleep(time.Second)
		confirmed := ""
		answer := make(chan error, 1)
		go (&reader{node: node, answer: answer, f: func() { confirmed = c.host(leader).machineState() }}).run(t)
		time.Sleep(time.Millisecond)
		c.thaw(leader)
		c.is.True(kindOf(<-answer) == KindNotLeader)
		c.is.Equal(confirmed, "")
		c.isolate(leader, false)
		c.is.Equal(c.settled(), []string{"x", "y"})
	})
}

// reader confirms beside the test.
type reader struct {
	node   Group
	f      func()
	answer chan error
}

func (r *reader) run(t *testing.T) {
	r.answer <- r.node.Confirm(t.Context(), func(uint64) { r.f() })
}

// TestDiskHangs has the leader's folder hang: another host leads meanwhile, and
// nothing that the hanging host says counts as current.
func TestDiskHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		c.propose("x")
		c.settled()
		leader := c.leader()
		h := c.host(leader)
		hang := make(chan struct{})
		h.folder.setHang(hang)
		answer := make(chan error, 1)
		go (&proposer{node: h.node, command: "y", answer: answer}).run(t)
		began := time.Now()
		time.Sleep(time.Millisecond)
		c.is.True(c.leader() != leader)
		c.is.True(time.Since(began) < 1500*time.Millisecond)
		c.propose("z")
		h.folder.setHang(nil)
		close(hang)
		c.is.Equal(kindOf(<-answer), KindInDoubt)
		c.is.Equal(c.settled(), []string{"x", "z"})
	})
}

// TestFailover bounds the time without a leader.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d")
		defer c.stopAll()
		for range 100 {
			c.settled()
			leader := c.leader()
			folder := c.host(leader).folder
			c.stop(leader)
			began := time.Now()
			c.leader()
			if took := time.Since(began); took > 1200*time.Millisecond {
				t.Errorf("no leader for %v", took)
			}
			c.startWith(leader, folder, Config{})
		}
	})
}

// TestRecovery bounds the time without a leader after all hosts have stopped,
// also where one of them stays away.
func TestRecovery(t *testing.T) {
	for _, away := range []string{"", "d"} {
		synctest.Test(t, func(t *testing.T) {
			ids := []string{"a", "b", "c", "d"}
			c := newSeeded(t, three, ids...)
			defer c.stopAll()
			for range 50 {
				c.settled()
				folders := map[string]*memoryFolder{}
				for _, id := range ids {
					folders[id] = c.host(id).folder
					c.stop(id)
				}
				time.Sleep(time.Second)
				for _, id := range ids {
					if id != away {
						c.startWith(id, folders[id], Config{})
						time.Sleep(20 * time.Millisecond)
					}
				}
				began := time.Now()
				c.leader()
				if took := time.Since(began); took > 750*time.Millisecond {
					t.Errorf("no leader for %v", took)
				}
				if away != "" {
					c.startWith(away, folders[away], Config{})
				}
			}
		})
	}
}

// TestRelays founds the group where some or all of the seeds have no disk.
func TestRelays(t *testing.T) {
	for _, test := range []struct {
		name   string
		relays []string
		ids    []string
	}{
		{"one relay", []string{"a"}, []string{"b", "c", "d"}},
		{"two relays", []string{"a", "c"}, []string{"b", "d", "e"}},
		{"relays alone", three, []string{"d", "e", "f", "g"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					c := newSeeded(t, three)
					defer c.stopAll()
					for _, id := range test.relays {
						c.startRelay(id)
						time.Sleep(100 * time.Millisecond)
					}
					for _, id := range test.ids {
						c.startNew(id, true)
						time.Sleep(300 * time.Millisecond)
					}
					c.propose("x")
					c.is.Equal(c.settled(), []string{"x"})
					time.Sleep(time.Second)
					leader := c.leader()
					for _, id := range test.relays {
						err := c.relays[id].node.Read(t.Context(), func(uint64) {})
						var e *Error
						c.is.True(errors.As(err, &e))
						c.is.Equal(e.Address, leader)
					}
				})
			}
		})
	}
}

// TestStartsOnRefusingFolder starts a host whose folder refuses writes at first.
func TestStartsOnRefusingFolder(t *testing.T) {
	for _, wait := range []time.Duration{0, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newSeeded(t, three, three...)
			defer c.stopAll()
			c.propose("x")
			c.settled()
			folder := c.host("b").folder
			c.stop("b")
			folder.refuse(true)
			c.startWith("b", folder, Config{})
			time.Sleep(wait)
			folder.refuse(false)
			c.propose("y")
			c.is.Equal(c.settled(), []string{"x", "y"})
		})
	}
}

// standsIn requires that a host without a usable folder names the leader, and
// takes no part.
func (c *cluster) standsIn(h *host) {
	c.t.Helper()
	ctx := c.t.Context()
	for _, call := range []func() error{
		func() error { return h.node.Read(ctx, func(uint64) {}) },
		func() error { return h.node.Confirm(ctx, func(uint64) {}) },
		func() error { _, err := h.node.Propose(ctx, []byte("none")); return err },
	} {
		var e *Error
		c.is.True(errors.As(call(), &e))
		c.is.Equal(e.Kind, KindNotLeader)
		c.is.Equal(e.Address, c.leader())
	}
	c.is.Equal(kindOf(h.node.Peek(ctx, func(Status) {})), KindStopped)
	_, err := h.node.Meet(ctx, &wire.MeetRequest{Founds: true, Address: "z"})
	c.is.Equal(kindOf(err), KindStopped)
	_, err = h.node.Vote(ctx, &wire.VoteRequest{})
	c.is.Equal(kindOf(err), KindStopped)
	_, err = h.node.Append(ctx, &wire.AppendRequest{})
	c.is.Equal(kindOf(err), KindStopped)
}

// TestStartsOnHangingFolder starts a host whose disk answers nothing at first:
// it names the leader meanwhile, takes no part, and follows once the disk
// answers.
func TestStartsOnHangingFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, three...)
		defer c.stopAll()
		c.propose("x")
		c.settled()
		id := c.follower()
		folder := c.host(id).folder
		c.stop(id)
		hang := make(chan struct{})
		folder.setHang(hang)
		h := c.startWith(id, folder, Config{})
		time.Sleep(time.Second)
		c.standsIn(h)
		folder.setHang(nil)
		close(hang)
		c.is.Equal(c.settled(), []string{"x"})
	})
}

// TestManyHosts starts more hosts than a group takes: the others know where the
// leader is, and one of them takes the place of a host that goes away.
func TestManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSeeded(t, three, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
		defer c.stopAll()
		c.propose("x")
		time.Sleep(10 * time.Second)
		c.is.Equal(c.voters(), maxMembers)
		leader := c.leader()
		for _, peer := range c.peers {
			if peer.GetId() == leader {
				continue
			}
			var e *Error
			c.is.True(errors.As(c.host(peer.GetId()).node.Read(t.Context(), func(uint64) {}), &e))
			c.is.Equal(e.Address, leader)
		}
		away := c.follower()
		c.stop(away)
		c.unname(away)
		time.Sleep(20 * time.Second)
		c.is.Equal(c.voters(), maxMembers)
	})
}
