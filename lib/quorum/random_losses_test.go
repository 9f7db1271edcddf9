package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var fourIDs = []string{"a", "b", "c", "d"}

// restart stops hosts simultaneously and starts them again on their data
// folders.
func (c *cluster) restart(ids ...string) {
	folders := map[string]*memoryFolder{}
	for _, id := range ids {
		folders[id] = c.host(id).folder
		c.stop(id)
	}
	for _, id := range ids {
		c.startWith(id, folders[id], Config{})
	}
}

// TestRandomLosses restarts, wipes, isolates, splits and freezes hosts that
// know only their seeds. Only one data folder at a time is lost. No
// acknowledged command may be missing or out of order, and no confirmed read
// may miss it.
func TestRandomLosses(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			c := newSeededCluster(t, threeIDs, fourIDs...)
			defer c.stopAll()
			var acknowledged []string
			for round := range 40 {
				id := fourIDs[rand.N(4)]
				switch rand.N(7) {
				case 0:
					c.restart(id)
				case 1:
					c.restart(fourIDs...)
				case 2:
					c.awaitAgreement()
					c.stop(id)
					c.startEmpty(id, false)
				case 3:
					c.isolate(id, true)
					time.Sleep(rand.N(15 * time.Second))
					c.isolate(id, false)
				case 4:
					c.split(fourIDs[:2], fourIDs[2:], true)
					time.Sleep(rand.N(5 * time.Second))
					c.split(fourIDs[:2], fourIDs[2:], false)
				case 5:
					c.freeze(id)
					time.Sleep(rand.N(15 * time.Second))
					c.thaw(id)
				case 6:
					c.mu.Lock()
					c.lossy = !c.lossy
					c.mu.Unlock()
				}
				command := fmt.Sprint("command", round)
				c.propose(command)
				acknowledged = append(acknowledged, command)
				c.checkConfirmedReads(command)
			}
			c.mu.Lock()
			c.lossy = false
			c.mu.Unlock()
			var order []string
			for _, command := range c.awaitAgreement() {
				if !slices.Contains(order, command) { // a command in doubt was proposed again
					order = append(order, command)
				}
			}
			c.is.Equal(order, acknowledged)
			c.is.Equal(c.voters(), 4)
		})
	}
}

// checkConfirmedReads checks that every host that confirms a read has executed
// the command.
func (c *cluster) checkConfirmedReads(command string) {
	c.t.Helper()
	for _, id := range fourIDs {
		h := c.host(id)
		answer := make(chan bool, 1)
		go (&reader{node: h.node, answer: make(chan error, 1), f: func() { answer <- slices.Contains(h.machine.commands, command) }}).run(c.t)
		select {
		case has := <-answer:
			c.is.True(has)
		case <-time.After(100 * time.Millisecond):
		}
	}
}
