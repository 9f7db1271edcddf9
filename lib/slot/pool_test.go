package slot

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

var (
	agentA = &wire.Incarnation{Id: "agent", Number: 1}
	entryA = &wire.Incarnation{Id: "entryA", Number: 1}
	entryB = &wire.Incarnation{Id: "entryB", Number: 2}
)

// claimAll leases every free slot to entry.
func claimAll(pool *Pool, entry *wire.Incarnation) []*wire.Token {
	return pool.Claim(&wire.ClaimRequest{Entry: entry, Max: 1000}).GetTokens()
}

func TestTokenIsUsedOnce(t *testing.T) {
	is := is.New(t)
	pool := New(agentA)
	pool.Open("server", "sizing", 1)
	token := claimAll(pool, entryA)[0]
	server, ok := pool.Use(entryA, token.GetNumber())
	is.True(ok)
	is.Equal(server, "server")
	_, ok = pool.Use(entryA, token.GetNumber())
	is.True(!ok) // the token is in use
	is.Equal(pool.Return(entryA, token.GetNumber()).GetNumber(), token.GetNumber())
	_, ok = pool.Use(entryA, token.GetNumber())
	is.True(ok) // usable again after its return
}

func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := New(agentA)
		pool.Open("server", "sizing", 1)
		token := claimAll(pool, entryA)[0]
		time.Sleep(LeaseTime)
		is.Equal(pool.Claim(&wire.ClaimRequest{Entry: entryA, Renewed: []uint64{token.GetNumber()}}).GetRenewed(), []uint64{token.GetNumber()})
		time.Sleep(LeaseTime + leaseMargin + time.Millisecond)
		_, ok := pool.Use(entryA, token.GetNumber())
		is.True(!ok)                             // expired
		is.Equal(len(claimAll(pool, entryB)), 1) // the slot is free for others
	})
}

func TestInvalidTokens(t *testing.T) {
	cases := []struct {
		name       string
		invalidate func(pool *Pool, number uint64)
		// free is the number of free slots after the token became invalid.
		free int
	}{
		{"closed", func(pool *Pool, _ uint64) { pool.Close("server") }, 0},
		{"other service", func(pool *Pool, _ uint64) { pool.Open("server", "tempering", 1) }, 1},
		{"fewer slots", func(pool *Pool, _ uint64) { pool.Open("server", "sizing", 0) }, 0},
		{"entry gone", func(pool *Pool, _ uint64) { pool.Retain(func(*wire.Incarnation) bool { return false }) }, 1},
		{"returned", func(pool *Pool, n uint64) { pool.Claim(&wire.ClaimRequest{Entry: entryA, Returned: []uint64{n}}) }, 1},
		{"revoked", func(pool *Pool, n uint64) { pool.Revoke([]*wire.Token{{Number: n}}) }, 1},
		{"lost in transit", func(pool *Pool, _ uint64) {
			time.Sleep(MaxTransitTime + time.Millisecond)
			pool.Claim(&wire.ClaimRequest{Entry: entryA, Complete: true})
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool := New(agentA)
				pool.Open("server", "sizing", 1)
				number := claimAll(pool, entryA)[0].GetNumber()
				c.invalidate(pool, number)
				_, ok := pool.Use(entryA, number)
				is.True(!ok)
				is.Equal(len(claimAll(pool, entryB)), c.free)
			})
		})
	}
}

func TestServerReopenedWhileBusy(t *testing.T) {
	is := is.New(t)
	pool := New(agentA)
	pool.Open("server", "sizing", 1)
	number := claimAll(pool, entryA)[0].GetNumber()
	_, ok := pool.Use(entryA, number)
	is.True(ok)
	pool.Close("server")
	pool.Open("server", "sizing", 1)         // reopened before the task has ended
	is.Equal(len(claimAll(pool, entryB)), 0) // the only slot is still busy
	is.True(pool.Return(entryA, number) != nil)
}

func TestQueueIsFIFO(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := New(agentA)
		pool.Open("server", "sizing", 1)
		_, first, ok := pool.Acquire(t.Context(), entryA, "sizing")
		is.True(ok)
		var order []int
		for n := range 3 {
			go func() {
				_, number, _ := pool.Acquire(t.Context(), entryA, "sizing")
				order = append(order, n)
				pool.Return(entryA, number)
			}()
			synctest.Wait()
		}
		is.Equal(pool.Capacities()[0].GetQueued(), uint32(3))
		is.True(pool.Return(entryA, first) == nil) // a start without a token returns none
		synctest.Wait()
		is.Equal(order, []int{0, 1, 2})
	})
}

func TestSplitIsEven(t *testing.T) {
	cases := []struct {
		slots, entries int
		most, least    int
	}{
		{8, 1, 8, 8},
		{8, 2, 4, 4},
		{8, 3, 3, 2},
		{8, 4, 2, 2},
		{1, 4, 1, 0},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.slots, " over ", c.entries), func(t *testing.T) {
			is := is.New(t)
			pool := New(agentA)
			pool.Open("server", "sizing", c.slots)
			var entries []*wire.Incarnation
			for n := range c.entries {
				entries = append(entries, &wire.Incarnation{Id: fmt.Sprint("entry", n)})
			}
			shares := pool.Split(entries)
			var sizes []int
			for _, e := range entries {
				sizes = append(sizes, len(shares[e]))
			}
			is.Equal(slices.Max(sizes), c.most)
			is.Equal(slices.Min(sizes), c.least)
		})
	}
}
