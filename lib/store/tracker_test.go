package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestTracker checks when a dead owner's jobs become claimable and an ended job
// expires, before and after a change of leader.
func TestTracker(t *testing.T) {
	is := is.New(t)
	m := NewMachine(DefaultLimits())
	m.Apply(keepCommand(one, "a", "x"), allMembers())
	m.Apply(keepCommand(one, "b", "x"), allMembers())
	m.Apply(cancelCommand("b"), allMembers())
	members := allMembers()
	tr := &tracker{}
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		after     time.Duration
		term      uint64
		ownerDead bool
		claimable int
		expired   uint64
	}{
		{0, 1, false, 0, 0},
		{time.Hour, 1, true, 0, 1},
		{ClaimDelay - 1, 1, true, 0, 1},
		{1, 1, true, 1, 1},
		{0, 2, true, 0, 0}, // a new leader starts with an empty tracker
		{ClaimDelay, 2, true, 1, 0},
		{StatusRetention - ClaimDelay - 1, 2, true, 1, 0},
		{1, 2, true, 1, 1},
	} {
		now = now.Add(step.after)
		if step.ownerDead {
			delete(members, ownerOf(one))
		}
		is.Equal(tr.observe(m, members, step.term, now), step.expired)
		jobs := tr.claimable(m, 10, now)
		is.Equal(len(jobs), step.claimable)
		if len(jobs) > 0 {
			is.Equal(jobs[0].GetId(), "a")
		}
	}
	m.Apply(claimCommand(two, "a", 1), members)
	tr.observe(m, members, 2, now)
	is.Equal(len(tr.claimable(m, 10, now)), 0)
}

// TestUnanswered checks that a failed call is reported as not done only if it
// surely had no effect.
func TestUnanswered(t *testing.T) {
	for _, test := range []struct {
		name string
		// leads is set if the one host left running is the leader.
		leads   bool
		notDone bool
	}{
		{"no leader", false, true},
		{"leader without a quorum", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, "h1", "h2", "h3")
				defer c.stopAll()
				c.proposeMembership(joinCommand + "one")
				client := c.client()
				_, err := client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job("a", "x")})
				c.is.NoErr(err)
				c.stopAllButOne(test.leads)
				_, err = client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job("b", "x")})
				c.is.True(err != nil)
				c.is.Equal(IsNotDone(err), test.notDone)
			})
		})
	}
}

// stopAllButOne stops all hosts but the leader, or all but a follower.
func (c *cluster) stopAllButOne(leads bool) {
	leader := c.leader()
	remaining := leader
	for _, id := range c.ids() {
		if !leads && id != leader {
			remaining = id
		}
	}
	for _, id := range c.ids() {
		if id != remaining {
			c.stop(id)
		}
	}
}
