package lease

import (
	"context"
	"testing"

	"skylarklane.example/lib/wire"
)

// launchDurable launches runs of a durable job under an epoch, and requires
// that they are accepted.
func (d *driver) launchDurable(entry *wire.Incarnation, epoch uint64, attempt uint32, tasks ...string) {
	d.Helper()
	q := d.order(entry, attempt, tasks...)
	q.Epoch = epoch
	reply, err := d.k.Launch(context.Background(), q)
	d.NoErr(err)
	for _, result := range reply.GetResults() {
		d.Equal(result.GetReason(), "")
	}
}

// takeOver takes a job over, and repeats that until no run of it is left.
func (d *driver) takeOver(entry *wire.Incarnation, job string, epoch uint64) uint64 {
	d.Helper()
	for range 50 {
		d.watch(entry, 0)
		reply, err := d.k.TakeRuns(context.Background(), &wire.TakeRunsRequest{Entry: entry, Agent: agentOne,
			Jobs: []*wire.TakenJob{{Id: job, Epoch: epoch}}})
		d.NoErr(err)
		if reply.GetResults()[0].GetLeft() == 0 {
			return reply.GetResults()[0].GetLastEnd()
		}
		d.sleep(20)
	}
	d.Fail()
	return 0
}

// expectCursor watches for a time without acknowledging any end, and checks
// the cursor at the worker.
func (d *driver) expectCursor(entry *wire.Incarnation, cursor uint64) {
	d.Helper()
	d.watchFor(entry, 200)
	d.Equal(d.acknowledged(), cursor)
}

func TestEndIsHeldBackUntilItIsStored(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.watch(entryTwo, 0)
		d.launchDurable(entryOne, 1, 1, "job.0.0.0")
		d.accepts(entryTwo, 1, "other.0.0.0")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Done)
		d.w.finish("other.0.0.0", 1, Done)
		d.expectCursor(entryOne, 0) // the later end is not acknowledged either
		_, err := d.k.Settle(context.Background(), &wire.SettleRequest{Entry: entryOne, Agent: agentOne, EndsSeen: 1})
		d.NoErr(err)
		d.sleep(60)
		d.Equal(d.acknowledged(), uint64(2))
	})
}

func TestEndIsGivenUpWithoutAnOwner(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.launchDurable(entryOne, 1, 1, "job.0.0.0")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Failed)
		d.sleep(10000)
		d.Equal(d.acknowledged(), uint64(0))
		d.sleep(10000)
		d.Equal(d.acknowledged(), uint64(1))
	})
}

func TestJobIsTakenOver(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.watch(entryTwo, 0)
		d.launchDurable(entryOne, 1, 1, "job.0.0.0", "job.0.0.1")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Done)
		d.sleep(10)
		last := d.takeOver(entryTwo, "job", 2)
		told := d.watch(entryTwo, 0)
		d.Equal(endsOf(told), map[runKey]string{{"job.0.0.0", 1}: "DONE ", {"job.0.0.1", 1}: "STOPPED taken"})
		for _, end := range told.GetEnds() {
			d.Equal(end.GetEpoch(), uint64(2))
		}
		d.expectCursor(entryTwo, 0) // not acknowledged before the new owner has stored it
		d.Equal(d.takeOver(entryTwo, "job", 2), last)
		d.watch(entryTwo, last)
		d.watchFor(entryTwo, 100)
		d.Equal(d.acknowledged(), uint64(2))

		d.watch(entryOne, 0)
		q := d.order(entryOne, 2, "job.0.0.1")
		q.Epoch = 1
		reply, err := d.k.Launch(context.Background(), q)
		d.NoErr(err)
		d.Equal(reply.GetResults()[0].GetReason(), "formerOwner")
	})
}

// TestUnknownEndIsToldToTheOwner checks that the end of a run started by an
// earlier incarnation of the agent reaches the entry that takes its job over.
func TestUnknownEndIsToldToTheOwner(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.restarted(true, "job.0.0.0")
		d.sleep(200)
		d.Equal(d.acknowledged(), uint64(0))
		last := d.takeOver(entryOne, "job", 1)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"job.0.0.0", 3}: "DONE "})
		d.watch(entryOne, last)
		d.watchFor(entryOne, 100)
		d.Equal(d.acknowledged(), uint64(1))
	})
}

// restarted puts the keeper into the state after a restart of the agent: the
// worker lists the end of a run from before.
func (d *driver) restarted(keeps bool, task string) {
	w := newFakeWorker("w2", 2000)
	w.finish(task, 3, Done)
	d.k.mu.Lock()
	d.k.cfg.HasDurableJobs = func() bool { return keeps }
	d.k.mu.Unlock()
	d.w = w
	d.announce(w)
}

func TestUnknownEnds(t *testing.T) {
	tests := []struct {
		name  string
		keeps bool
	}{
		{name: "no kept jobs"},
		{name: "kept jobs", keeps: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.restarted(test.keeps, "job.0.0.0")
				d.sleep(60)
				d.Equal(d.acknowledged() == 0, test.keeps) // without durable jobs it is acknowledged at once
				d.Equal(d.watch(entryOne, 0).GetWorker().GetAccepting(), !test.keeps)
				d.sleep(1200)
				d.Equal(d.acknowledged(), uint64(1)) // once the former lease has expired
				d.sleep(100)
				d.True(d.watch(entryOne, 0).GetWorker().GetAccepting())
			})
		})
	}
}

// acknowledged returns the newest end that the worker may forget.
func (d *driver) acknowledged() uint64 {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	return d.w.cursor
}
