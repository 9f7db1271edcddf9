package job

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestWatchesOfManyAgents guards against an entry that spends its processor on
// the reports of agents where it runs nothing.
func TestWatchesOfManyAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var agents []*fakeAgent
		for i := range 67 {
			agents = append(agents, newFakeAgent(fmt.Sprintf("a%d", i), 10_000, doneAfter(50*time.Millisecond)))
		}
		d := newTestDispatcher(t, agents...)
		before := watches(agents)
		for range 100 {
			for _, a := range agents {
				a.set(func() {}) // another entry's run begins or ends
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(watches(agents)-before <= 600)
		began := time.Now()
		is.Equal(d.Submit(t.Context(), newJob("j", 8)).State, Complete)
		is.True(time.Since(began) < 65*time.Millisecond) // the pause does not delay the report of an end
	})
}

func watches(agents []*fakeAgent) int {
	n := 0
	for _, a := range agents {
		a.mu.Lock()
		n += a.watches
		a.mu.Unlock()
	}
	return n
}
