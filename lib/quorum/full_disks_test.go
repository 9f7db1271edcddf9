package quorum

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var (
	firstSeed = flag.Uint64("firstSeed", 1, "first seed of the random schedules")
	seeds     = flag.Uint64("seeds", 8, "number of random schedules")
)

// ackLimit is the time within which a command must be acknowledged while at
// most one host cannot write.
const ackLimit = 4 * time.Second

// refusal is what a disk without room refuses.
type refusal int

const (
	refusesNothing refusal = iota
	// refusesAll refuses everything; an append leaves part of its data behind.
	refusesAll
	// refusesReplacing has no room for new files, but lets files grow.
	refusesReplacing
	// refusesAppending lets no file grow, but has room for new files.
	refusesAppending
	// refusesLargeAppends has room for small records only.
	refusesLargeAppends
	// refusesSyncing takes all data and finds no room when it is synced.
	refusesSyncing
	refusals
)

// replace reports whether the new contents of a file are kept, and the error of
// the call.
func (r refusal) replace() (bool, error) {
	switch r {
	case refusesAll, refusesReplacing:
		return false, syscall.ENOSPC
	case refusesSyncing:
		return true, syscall.ENOSPC
	}
	return true, nil
}

// append returns how many of the bytes are kept, and the error of the call.
func (r refusal) append(size int) (int, error) {
	switch {
	case r == refusesAll, r == refusesAppending, r == refusesLargeAppends && size > 1000:
		return rand.N(size), syscall.ENOSPC
	case r == refusesSyncing:
		return size, syscall.ENOSPC
	}
	return size, nil
}

func (m *memoryFolder) setRefusal(r refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusal = r
}

// fullDisks is a random schedule of disks without room, and the commands that
// were acknowledged meanwhile.
type fullDisks struct {
	*cluster
	random       *rand.Rand
	seed         uint64
	acknowledged []string
}

// TestLeaderWithoutRoom checks that a leader which could not append is not
// elected again while others can write: it would fail at its next append.
func TestLeaderWithoutRoom(t *testing.T) {
	for _, r := range []refusal{refusesAll, refusesAppending, refusesLargeAppends, refusesSyncing} {
		synctest.Test(t, func(t *testing.T) {
			c := newFullDisks(t, 0)
			defer c.stopAll()
			for range 10 {
				leader := c.leader()
				c.host(leader).folder.setRefusal(r)
				c.is.Equal(kindOf(c.proposeTo(leader, strings.Repeat("x", 3000))), KindInDoubt)
				began := time.Now()
				c.is.True(c.leader() != leader)
				c.is.True(time.Since(began) < 1500*time.Millisecond)
				c.host(leader).folder.setRefusal(refusesNothing)
				time.Sleep(2 * time.Second)
			}
		})
	}
}

// TestDisksFullInTurn guards against changes that stay unanswered during and
// after full disks: one disk after another has no room while commands are
// proposed through all hosts. Each command must be acknowledged in time, and all
// hosts must be voters again afterwards without a new folder.
func TestDisksFullInTurn(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newFullDisks(t, seed)
			defer c.stopAll()
			identities := c.identities()
			for range 3 {
				for _, id := range c.order() {
					c.host(id).folder.setRefusal(c.anyRefusal())
					c.publishFor(c.between(3*time.Second, 8*time.Second), ackLimit)
					c.host(id).folder.setRefusal(refusesNothing)
					c.publishFor(c.between(0, time.Second), ackLimit)
				}
				c.publishFor(2*time.Second, ackLimit)
			}
			c.check()
			c.is.Equal(c.identities(), identities)
		})
	}
}

// TestFullDiskAndLoss lets disks be full while another host is frozen,
// restarted or cut off. Once all hosts can write again, commands must be
// acknowledged in time.
func TestFullDiskAndLoss(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newFullDisks(t, seed)
			defer c.stopAll()
			for range 10 {
				ids := c.order()
				c.host(ids[0]).folder.setRefusal(c.anyRefusal())
				c.publishFor(c.between(0, 3*time.Second), ackLimit)
				c.lose(ids[c.random.IntN(len(ids))])
				c.host(ids[0]).folder.setRefusal(refusesNothing)
				c.publishFor(3*time.Second, ackLimit)
			}
			c.check()
		})
	}
}

// TestFullDiskWhileRejoining lets the disk of a removed host be full while the
// host makes its folder new and joins the group again.
func TestFullDiskWhileRejoining(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newFullDisks(t, seed)
			defer c.stopAll()
			for range 4 {
				id := c.order()[0]
				c.isolate(id, true)
				c.publishFor(15*time.Second, 4*ackLimit)
				c.awaitVoters(3)
				if c.random.IntN(2) == 0 { // full before the host hears of its removal
					c.host(id).folder.setRefusal(c.anyRefusal())
				}
				c.isolate(id, false)
				c.publishFor(c.between(0, 2*time.Second), ackLimit)
				c.host(id).folder.setRefusal(c.anyRefusal())
				c.publishFor(c.between(0, 15*time.Second), ackLimit)
				c.host(id).folder.setRefusal(refusesNothing)
				c.awaitVoters(4)
			}
			c.check()
		})
	}
}

// lose takes a host out for some seconds.
func (c *fullDisks) lose(id string) {
	out := c.between(0, 4*time.Second)
	switch c.random.IntN(4) {
	case 0:
		c.freeze(id)
		c.publishFor(out, 0)
		c.thaw(id)
	case 1:
		folder := c.host(id).folder
		c.stop(id)
		c.publishFor(out, 0)
		c.startWith(id, folder, Config{})
	case 2:
		c.isolate(id, true)
		c.publishFor(out+8*time.Second, 0)
		c.isolate(id, false)
	case 3:
		c.restart(fourIDs...)
		c.publishFor(out, 0)
	}
}

func newFullDisks(t *testing.T, seed uint64) *fullDisks {
	c := &fullDisks{cluster: newSeededCluster(t, threeIDs, fourIDs...), random: rand.New(rand.NewPCG(seed, 0)), seed: seed}
	c.propose("first")
	c.acknowledged = c.awaitAgreement()
	return c
}

// identities returns the contents of all identity files.
func (c *fullDisks) identities() string {
	var all []string
	for _, id := range fourIDs {
		all = append(all, c.identityOf(id))
	}
	return strings.Join(all, " ")
}

// order returns all hosts in random order, with the leader first half of the
// time.
func (c *fullDisks) order() []string {
	ids := slices.Clone(fourIDs)
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	if c.random.IntN(2) == 0 {
		i := slices.Index(ids, c.leader())
		ids[0], ids[i] = ids[i], ids[0]
	}
	return ids
}

// anyRefusal returns a refusal other than refusesNothing.
func (c *fullDisks) anyRefusal() refusal { return refusal(1 + c.random.IntN(int(refusals)-1)) }

func (c *fullDisks) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// publishFor proposes commands for some time. Each must be acknowledged within
// the limit; with the limit 0 they need not be acknowledged.
func (c *fullDisks) publishFor(period, limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(c.between(0, 400*time.Millisecond)) {
		size := c.random.IntN(100)
		if c.random.IntN(4) == 0 {
			size = 3000
		}
		command := fmt.Sprintf("%d %s", len(c.acknowledged), strings.Repeat("x", size))
		began := time.Now()
		giveUp := began.Add(max(limit, time.Second))
		if limit > 0 {
			giveUp = began.Add(time.Minute)
		}
		acknowledged := c.publish(command, giveUp)
		if acknowledged {
			c.acknowledged = append(c.acknowledged, command)
		}
		if took := time.Since(began); limit > 0 && (took > limit || !acknowledged) {
			c.logStatus()
			c.t.Errorf("seed %d: command %.6s took %v, acknowledged: %v", c.seed, command, took, acknowledged)
			return
		}
	}
}

// publish proposes a command as an operator does, through any host and then the
// leader that it names, until it is acknowledged or the time is over.
func (c *fullDisks) publish(command string, giveUp time.Time) bool {
	for time.Now().Before(giveUp) {
		err := c.proposeTo(fourIDs[c.random.IntN(len(fourIDs))], command)
		var e *Error
		if errors.As(err, &e) && e.Kind == KindNotLeader && e.Address != "" {
			err = c.proposeTo(e.Address, command)
		}
		if err == nil {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (c *fullDisks) proposeTo(id, command string) error {
	h := c.host(id)
	if h == nil {
		return errLinkDown
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 1200*time.Millisecond)
	defer cancel()
	_, err := h.node.Propose(ctx, []byte(command))
	return err
}

// check checks that all hosts are voters with the same commands, that no
// acknowledged command is missing or out of order, and that no host has ended.
func (c *fullDisks) check() {
	c.t.Helper()
	var order []string
	for _, command := range c.awaitAgreement() {
		if !slices.Contains(order, command) && slices.Contains(c.acknowledged, command) {
			order = append(order, command)
		}
	}
	c.is.Equal(order, c.acknowledged)
	c.is.Equal(c.voters(), len(fourIDs))
	for _, id := range fourIDs {
		c.is.Equal(len(c.host(id).ended), 0)
	}
}
