package lease

import (
	"context"
	"testing"

	"skylarklane.example/lib/wire"
)

// launchDurable launches runs of a durable job under an epoch, and fails the
// test unless they are accepted.
func (d *driver) launchDurable(entry *wire.Incarnation, epoch uint64, attempt uint32, tasks ...string) {
	d.Helper()
	q := d.launchRequest(entry, attempt, tasks...)
	q.Epoch = epoch
	reply, err := d.manager.Launch(context.Background(), q)
	d.NoErr(err)
	for _, result := range reply.GetResults() {
		d.Equal(result.GetReason(), "")
	}
}

// takeOver repeats the call to take a job over until none of its earlier runs
// is left. It returns the number of the job's newest end.
func (d *driver) takeOver(entry *wire.Incarnation, job string, epoch uint64) uint64 {
	d.Helper()
	for range 50 {
		d.watch(entry, 0)
		reply, err := d.manager.TakeRuns(context.Background(), &wire.TakeRunsRequest{Entry: entry, Agent: agentOne,
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

// expectCursor renews the session for 200 ms without acknowledging any end, and
// checks which ends were acknowledged to the worker.
func (d *driver) expectCursor(entry *wire.Incarnation, cursor uint64) {
	d.Helper()
	d.watchFor(entry, 200)
	d.Equal(d.acknowledged(), cursor)
}

func TestEndIsNotAcknowledgedUntilStored(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.watch(entryTwo, 0)
		d.launchDurable(entryOne, 1, 1, "job.0.0.0")
		d.mustAccept(entryTwo, 1, "other.0.0.0")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Done)
		d.w.finish("other.0.0.0", 1, Done)
		d.expectCursor(entryOne, 0) // the later end is not acknowledged either
		_, err := d.manager.Settle(context.Background(), &wire.SettleRequest{Entry: entryOne, Agent: agentOne, EndsSeen: 1})
		d.NoErr(err)
		d.sleep(60)
		d.Equal(d.acknowledged(), uint64(2))
	})
}

func TestUnstoredEndIsAcknowledgedAfterTimeout(t *testing.T) {
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
		reported := d.watch(entryTwo, 0)
		d.Equal(endsOf(reported), map[runKey]string{{"job.0.0.0", 1}: "DONE ", {"job.0.0.1", 1}: "STOPPED taken"})
		for _, end := range reported.GetEnds() {
			d.Equal(end.GetEpoch(), uint64(2))
		}
		d.expectCursor(entryTwo, 0) // not acknowledged before the new owner has stored it
		d.Equal(d.takeOver(entryTwo, "job", 2), last)
		d.watch(entryTwo, last)
		d.watchFor(entryTwo, 100)
		d.Equal(d.acknowledged(), uint64(2))

		d.watch(entryOne, 0)
		q := d.launchRequest(entryOne, 2, "job.0.0.1")
		q.Epoch = 1
		reply, err := d.manager.Launch(context.Background(), q)
		d.NoErr(err)
		d.Equal(reply.GetResults()[0].GetReason(), "formerOwner")
	})
}

// TestUnknownEndIsReportedToNewOwner checks that the end of a run started by an
// earlier incarnation of the agent reaches the entry that takes its job over.
func TestUnknownEndIsReportedToNewOwner(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.simulateAgentRestart(true, "job.0.0.0")
		d.sleep(200)
		d.Equal(d.acknowledged(), uint64(0))
		last := d.takeOver(entryOne, "job", 1)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"job.0.0.0", 3}: "DONE "})
		d.watch(entryOne, last)
		d.watchFor(entryOne, 100)
		d.Equal(d.acknowledged(), uint64(1))
	})
}

// simulateAgentRestart announces a new worker that lists the end of a run which
// the manager does not know, as after a restart of the agent.
func (d *driver) simulateAgentRestart(durable bool, task string) {
	w := newFakeWorker("w2", 2000)
	w.finish(task, 3, Done)
	d.manager.mu.Lock()
	d.manager.cfg.HasDurableJobs = func() bool { return durable }
	d.manager.mu.Unlock()
	d.w = w
	d.announce(w)
}

func TestUnknownEnds(t *testing.T) {
	tests := []struct {
		name    string
		durable bool
	}{
		{name: "no durable jobs"},
		{name: "durable jobs", durable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.simulateAgentRestart(test.durable, "job.0.0.0")
				d.sleep(60)
				d.Equal(d.acknowledged() == 0, test.durable) // without durable jobs, it is acknowledged at once
				d.Equal(d.watch(entryOne, 0).GetWorker().GetAccepting(), !test.durable)
				d.sleep(1200)
				d.Equal(d.acknowledged(), uint64(1)) // the lease of the earlier incarnation has expired
				d.sleep(100)
				d.True(d.watch(entryOne, 0).GetWorker().GetAccepting())
			})
		})
	}
}

// acknowledged returns the number up to which the worker's ends are
// acknowledged.
func (d *driver) acknowledged() uint64 {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	return d.w.cursor
}
