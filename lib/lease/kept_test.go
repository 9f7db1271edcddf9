package lease

import (
	"context"
	"testing"

	"skylarklane.example/lib/wire"
)

// keeps launches runs of a job under an epoch, which have to be accepted.
func (d *desk) keeps(entry *wire.Incarnation, epoch uint64, attempt uint32, tasks ...string) {
	d.Helper()
	q := d.order(entry, attempt, tasks...)
	q.Epoch = epoch
	reply, err := d.k.Launch(context.Background(), q)
	d.NoErr(err)
	for _, result := range reply.GetResults() {
		d.Equal(result.GetReason(), "")
	}
}

// take takes a job over until no run of it is left.
func (d *desk) take(entry *wire.Incarnation, job string, epoch uint64) uint64 {
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

// holds watches for a time without taking note of any end.
func (d *desk) holds(entry *wire.Incarnation, cursor uint64) {
	d.Helper()
	d.live(entry, 200)
	d.Equal(d.acknowledged(), cursor)
}

func TestEndIsHeldBackUntilItIsStored(t *testing.T) {
	onDesk(t, func(d *desk) {
		d.watch(entryOne, 0)
		d.watch(entryTwo, 0)
		d.keeps(entryOne, 1, 1, "job.0.0.0")
		d.accepts(entryTwo, 1, "other.0.0.0")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Done)
		d.w.finish("other.0.0.0", 1, Done)
		d.holds(entryOne, 0) // also the later one
		_, err := d.k.Settle(context.Background(), &wire.SettleRequest{Entry: entryOne, Agent: agentOne, EndsSeen: 1})
		d.NoErr(err)
		d.sleep(60)
		d.Equal(d.acknowledged(), uint64(2))
	})
}

func TestEndIsGivenUpWithoutAnOwner(t *testing.T) {
	onDesk(t, func(d *desk) {
		d.watch(entryOne, 0)
		d.keeps(entryOne, 1, 1, "job.0.0.0")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Failed)
		d.sleep(10000)
		d.Equal(d.acknowledged(), uint64(0))
		d.sleep(10000)
		d.Equal(d.acknowledged(), uint64(1))
	})
}

func TestJobIsTakenOver(t *testing.T) {
	onDesk(t, func(d *desk) {
		d.watch(entryOne, 0)
		d.watch(entryTwo, 0)
		d.keeps(entryOne, 1, 1, "job.0.0.0", "job.0.0.1")
		d.sleep(10)
		d.w.finish("job.0.0.0", 1, Done)
		d.sleep(10)
		last := d.take(entryTwo, "job", 2)
		told := d.watch(entryTwo, 0)
		d.Equal(endsOf(told), map[runKey]string{{"job.0.0.0", 1}: "DONE ", {"job.0.0.1", 1}: "STOPPED taken"})
		for _, end := range told.GetEnds() {
			d.Equal(end.GetEpoch(), uint64(2))
		}
		d.holds(entryTwo, 0) // not before the new owner has stored it
		d.Equal(d.take(entryTwo, "job", 2), last)
		d.watch(entryTwo, last)
		d.live(entryTwo, 100)
		d.Equal(d.acknowledged(), uint64(2))

		d.watch(entryOne, 0)
		q := d.order(entryOne, 2, "job.0.0.1")
		q.Epoch = 1
		reply, err := d.k.Launch(context.Background(), q)
		d.NoErr(err)
		d.Equal(reply.GetResults()[0].GetReason(), "formerOwner")
	})
}

// TestUnknownEndIsToldToTheOwner has a run end that an earlier incarnation of
// the agent has started.
func TestUnknownEndIsToldToTheOwner(t *testing.T) {
	onDesk(t, func(d *desk) {
		d.restarted(true, "job.0.0.0")
		d.sleep(200)
		d.Equal(d.acknowledged(), uint64(0))
		last := d.take(entryOne, "job", 1)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"job.0.0.0", 3}: "DONE "})
		d.watch(entryOne, last)
		d.live(entryOne, 100)
		d.Equal(d.acknowledged(), uint64(1))
	})
}

// restarted makes the keeper one that has just started, beside a worker that
// lists the end of a run of before.
func (d *desk) restarted(keeps bool, task string) {
	w := newFakeWorker("w2", 2000)
	w.finish(task, 3, Done)
	d.k.mu.Lock()
	d.k.cfg.KeepsEnds = func() bool { return keeps }
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
			onDesk(t, func(d *desk) {
				d.restarted(test.keeps, "job.0.0.0")
				d.sleep(60)
				d.Equal(d.acknowledged() == 0, test.keeps) // else acknowledged at once
				d.Equal(d.watch(entryOne, 0).GetWorker().GetAccepting(), !test.keeps)
				d.sleep(1200)
				d.Equal(d.acknowledged(), uint64(1)) // once the former lease has lapsed
				d.sleep(100)
				d.True(d.watch(entryOne, 0).GetWorker().GetAccepting())
			})
		})
	}
}

// acknowledged is the newest end that the worker may forget.
func (d *desk) acknowledged() uint64 {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	return d.w.cursor
}
