package quorum

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
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
		c.is.Equal(kindOf(h.node.Read(t.Context(), func(uint64) {})), KindStopped)
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
		confirmed := ""
		answer := make(chan error, 1)
		go (&reader{node: node, answer: answer, f: func() { confirmed = c.host(leader).machineState() }}).run(t)
		time.Sleep(time.Millisecond)
		c.thaw(leader)
		c.is.True(kindOf(<-answer) == KindNotLeader)
		c.is.Equal(confirmed, "")
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
