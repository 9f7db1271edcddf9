package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"skylarklane.example/lib/wire"
)

// TestIdleAgent guards against agents that wake 70 times a second while their workers
// have no runs: 240 of them took as much processor time as their calls.
func TestIdleAgent(t *testing.T) {
	// maxPerSecond bounds the ticks and holds of an agent at rest.
	const maxPerSecond = 20
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.sleep(1000)
		before := d.refreshes.Load()
		d.sleep(1000)
		n := d.refreshes.Load() - before
		t.Logf("%d ticks and holds a second", n)
		d.True(n <= maxPerSecond)

		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		began := time.Now()
		d.sleep(10)
		d.Equal(d.w.startCount("a"), 1)
		for d.w.runningTasks() != nil { // its session isn't renewed
			d.sleep(1)
		}
		d.True(time.Since(began) <= DefaultSession+DefaultGrace)
	})
}

// TestBusyAgent guards against agents that wake 50 times a second while their workers
// have runs, and against entries that are then told late of an evacuation.
func TestBusyAgent(t *testing.T) {
	// maxPerSecond bounds the ticks, holds and Watches of an agent whose runs neither
	// begin nor end.
	const maxPerSecond = 25
	synctest.Test(t, func(t *testing.T) {
		changed, last := make(chan struct{}), make(chan struct{})
		channels := []chan struct{}{changed, last}
		d := newDriver(t)
		d.manager.cfg.EvacuationChanged = func() <-chan struct{} {
			next := channels[0]
			channels = channels[1:]
			return next
		}
		d.run(t.Context(), func(d *driver) {
			d.announce(d.w)
			d.sleep(50)
			d.watch(entryOne, 0)
			d.mustAccept(entryOne, 1, "a")
			d.sleep(50)
			version := d.watch(entryOne, 0).GetWorker().GetVersion()
			before := d.refreshes.Load()
			watch := func(wait time.Duration) *wire.WatchReply {
				reply, err := d.manager.Watch(context.Background(), &wire.WatchRequest{Entry: entryOne, Agent: agentOne, VersionSeen: version,
					WaitMillis: wait.Milliseconds(), RenewUntilMillis: (d.clock.Now() + DefaultSession).Milliseconds()})
				d.NoErr(err)
				return reply
			}
			for range 4 {
				d.True(watch(250 * time.Millisecond).GetWorker().GetAccepting())
			}
			n := d.refreshes.Load() - before
			t.Logf("%d ticks, holds and Watches a second", n)
			d.True(n <= maxPerSecond)

			time.AfterFunc(100*time.Millisecond, func() {
				d.evacuated.Store(true)
				close(changed)
			})
			began := time.Now()
			d.Equal(watch(time.Second).GetWorker().GetReason(), wire.ReasonEvacuated)
			d.Equal(time.Since(began), 100*time.Millisecond)
			d.w.finish("a", 1, Done)
			d.sleep(10)
		})
	})
}
