package lease

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// skippingClock is a clock that may skip ahead, as after a suspension.
type skippingClock struct {
	clock.Clock
	skipped time.Duration
}

func (c *skippingClock) Now() time.Duration { return c.Clock.Now() + c.skipped }

// sinceNow returns a clock that starts at 0.
func sinceNow() clock.Clock {
	began := time.Now()
	return clock.Func(func() time.Duration { return time.Since(began) })
}

// driver tests a manager with one fake worker, and makes the calls of entries.
type driver struct {
	*is.I
	manager *Manager
	w       *fakeWorker
	clock   *skippingClock
	// workers holds the workers that the manager can connect to, by the name of
	// their incarnation.
	workers map[string]*fakeWorker
	// evacuated is what Config.Evacuated reports.
	evacuated atomic.Bool
	// refreshes counts the calls of Config.Evacuated, one for each time that the state
	// of the worker is computed.
	refreshes atomic.Int64
}

func (d *driver) isEvacuated() bool {
	d.refreshes.Add(1)
	return d.evacuated.Load()
}

// withDriver runs f with a manager whose worker is announced and cleared.
func withDriver(t *testing.T, f func(d *driver)) {
	withoutWorker(t, func(d *driver) {
		d.announce(d.w)
		d.sleep(50)
		f(d)
	})
}

// withoutWorker runs f with a manager to which no worker is announced.
func withoutWorker(t *testing.T, f func(d *driver)) {
	synctest.Test(t, func(t *testing.T) { newDriver(t).run(t.Context(), f) })
}

// run runs f while the manager runs.
func (d *driver) run(ctx context.Context, f func(d *driver)) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.manager.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	synctest.Wait()
	f(d)
}

func newDriver(t testing.TB) *driver {
	d := &driver{
		I:       is.New(t.(*testing.T)),
		clock:   &skippingClock{Clock: sinceNow()},
		workers: map[string]*fakeWorker{},
		w:       newFakeWorker("w1", 1000),
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg := Config{Agent: agentOne, Clock: d.clock, Evacuated: d.isEvacuated}
	d.manager = New(cfg, func(a Announcement) Worker { return d.workers[a.IncarnationName()] }, log, tally.NoopScope)
	return d
}

var (
	agentOne = &wire.Incarnation{Id: "agent", Number: 7}
	// unknownAgentOne names the agent as an entry does that was never answered.
	unknownAgentOne = &wire.Incarnation{Id: "agent"}
	entryOne        = &wire.Incarnation{Id: "entry1", Number: 1}
	entryTwo        = &wire.Incarnation{Id: "entry2", Number: 1}
)

func (d *driver) announce(w *fakeWorker) {
	d.workers[w.announcement.IncarnationName()] = w
	w.announcement.ClockMillis = w.clock()
	d.NoErr(d.manager.Announce(w.announcement))
	w.announcement.Sequence++
}

// incarnation returns the current incarnation of the worker.
func (d *driver) incarnation() *incarnation {
	d.manager.mu.Lock()
	defer d.manager.mu.Unlock()
	return d.manager.incarnation
}

func (d *driver) sleep(millis int) {
	time.Sleep(time.Duration(millis) * time.Millisecond)
	synctest.Wait()
}

// watch renews the session of an entry and returns at once.
func (d *driver) watch(entry *wire.Incarnation, ackedEnd uint64) *wire.WatchReply {
	reply, err := d.manager.Watch(context.Background(), &wire.WatchRequest{
		Entry:            entry,
		Agent:            agentOne,
		EndsSeen:         ackedEnd,
		RenewUntilMillis: (d.clock.Now() + DefaultSession).Milliseconds(),
	})
	d.NoErr(err)
	return reply
}

// watchFor renews the session of an entry every 50 ms for the given time.
func (d *driver) watchFor(entry *wire.Incarnation, millis int) *wire.WatchReply {
	reply := d.watch(entry, 0)
	for range millis / 50 {
		d.sleep(50)
		reply = d.watch(entry, 0)
	}
	return reply
}

func (d *driver) launch(entry *wire.Incarnation, attempt uint32, tasks ...string) []*wire.LaunchResult {
	q := d.launchRequest(entry, attempt, tasks...)
	reply, err := d.manager.Launch(context.Background(), q)
	d.NoErr(err)
	return reply.GetResults()
}

func (d *driver) launchRequest(entry *wire.Incarnation, attempt uint32, tasks ...string) *wire.LaunchRequest {
	q := &wire.LaunchRequest{
		Entry:          entry,
		Agent:          agentOne,
		NotAfterMillis: d.clock.Now().Milliseconds() + 500,
		Service:        "sizing",
		Worker:         d.incarnation().name,
		Spec:           []byte("spec"),
	}
	for _, task := range tasks {
		q.Tasks = append(q.Tasks, &wire.LaunchTask{
			Run:  &wire.RunId{Task: task, Attempt: attempt},
			Need: &wire.Resources{CpuMillis: 1000, MemoryMb: 1000},
		})
	}
	return q
}

func (d *driver) halt(entry *wire.Incarnation, attempt uint32, task string) {
	_, err := d.manager.Halt(context.Background(), &wire.HaltRequest{
		Entry: entry,
		Agent: agentOne,
		Runs:  []*wire.RunId{{Task: task, Attempt: attempt}},
	})
	d.NoErr(err)
}

// mustAccept launches one run and fails the test unless it is accepted.
func (d *driver) mustAccept(entry *wire.Incarnation, attempt uint32, task string) {
	d.Helper()
	d.Equal(d.launch(entry, attempt, task)[0].GetReason(), "")
}

// endsOf returns how the runs of an entry ended, by task and attempt.
func endsOf(reply *wire.WatchReply) map[runKey]string {
	ends := map[runKey]string{}
	for _, e := range reply.GetEnds() {
		ends[keyOf(e.GetRun())] = e.GetHow().String()[len("RUN_HOW_"):] + " " + e.GetReason()
	}
	return ends
}

func TestRunIsStartedAndItsEndReported(t *testing.T) {
	withDriver(t, func(d *driver) {
		first := d.watch(entryOne, 0)
		d.True(first.GetWorker().GetAccepting())
		d.mustAccept(entryOne, 1, "a")
		d.sleep(20)
		d.Equal(d.w.runningTasks(), []string{"a"})
		d.w.finish("a", 1, Done)
		d.sleep(1)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "DONE "})
		d.Equal(len(d.watch(entryOne, 1).GetEnds()), 0)
		d.sleep(5)
		d.Equal(d.w.cursor, uint64(1))
	})
}

func TestStoppingRunsReserveCapacity(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		for _, r := range d.launch(entryOne, 1, "a", "b", "c", "d") {
			d.True(r.GetAccepted())
		}
		d.Equal(d.launch(entryOne, 1, "e")[0].GetReason(), "noRoom")
		d.sleep(10)
		d.halt(entryOne, 1, "a")
		d.sleep(20)
		d.Equal(d.launch(entryOne, 1, "f")[0].GetReason(), "noRoom")
		d.sleep(60)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "STOPPED halted"})
		d.mustAccept(entryOne, 1, "g")
		d.sleep(10)
		d.Equal(d.w.peakRuns, 4)
	})
}
