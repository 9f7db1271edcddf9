package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestWatch lets time pass after a death and an end, under two leaders.
func TestWatch(t *testing.T) {
	is := is.New(t)
	m := NewMachine(DefaultLimits())
	m.Apply(keep(one, "a", "x"), everyone())
	m.Apply(keep(one, "b", "x"), everyone())
	m.Apply(cancelled("b"), everyone())
	members := everyone()
	w := &watch{}
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		after     time.Duration
		term      uint64
		dies      bool
		claimable int
		until     uint64
	}{
		{0, 1, false, 0, 0},
		{time.Hour, 1, true, 0, 1},
		{ClaimWait - 1, 1, true, 0, 1},
		{1, 1, true, 1, 1},
		{0, 2, true, 0, 0}, // another leader saw nothing yet
		{ClaimWait, 2, true, 1, 0},
		{StatusKept - ClaimWait - 1, 2, true, 1, 0},
		{1, 2, true, 1, 1},
	} {
		now = now.Add(step.after)
		if step.dies {
			delete(members, ownerOf(one))
		}
		is.Equal(w.observe(m, members, step.term, now), step.until)
		jobs := w.claimable(m, 10, now)
		is.Equal(len(jobs), step.claimable)
		if len(jobs) > 0 {
			is.Equal(jobs[0].GetId(), "a")
		}
	}
	m.Apply(claim(two, "a", 1), members)
	w.observe(m, members, 2, now)
	is.Equal(len(w.claimable(m, 10, now)), 0)
}

// TestUnanswered tells calls that were surely not carried out from those in
// doubt.
func TestUnanswered(t *testing.T) {
	for _, test := range []struct {
		name string
		// leads tells whether the one host that stays is the leader.
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
				c.change(joinCommand + "one")
				client := c.client()
				_, err := client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job("a", "x")})
				c.is.NoErr(err)
				c.leave(test.leads)
				_, err = client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job("b", "x")})
				c.is.True(err != nil)
				c.is.Equal(IsNotDone(err), test.notDone)
			})
		})
	}
}

// leave stops all hosts but one: the leader, or another.
func (c *cluster) leave(leads bool) {
	leader := c.leader()
	stays := leader
	for _, id := range c.ids() {
		if !leads && id != leader {
			stays = id
		}
	}
	for _, id := range c.ids() {
		if id != stays {
			c.stop(id)
		}
	}
}
