package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"skylarklane.example/lib/wire"
)

// TestClaim guards against a run that starts before its job is claimed for its entry, or
// although another entry has the job.
func TestClaim(t *testing.T) {
	const claimTime = 20 * time.Millisecond
	claimant := &wire.Member{Incarnation: entryOne}
	tests := []struct {
		name     string
		claimant *wire.Member
		granted  bool
		// tasks are launched at the same time; during happens while they are claimed.
		tasks  []string
		during func(d *driver)
		claims int
		starts int
		want   string
	}{
		{name: "granted", claimant: claimant, granted: true, tasks: []string{"j.0.0.0"}, claims: 1, starts: 1},
		{name: "denied", claimant: claimant, tasks: []string{"j.0.0.0"}, claims: 1, want: "NOT_STARTED claimedElsewhere"},
		{name: "claimed by the entry", tasks: []string{"j.0.0.0"}, starts: 1},
		{name: "tasks of one job", claimant: claimant, granted: true, tasks: []string{"j.0.0.0", "j.0.0.1"}, claims: 1, starts: 2},
		{name: "tasks of two jobs", claimant: claimant, tasks: []string{"j.0.0.0", "k.0.0.0"}, claims: 2, want: "NOT_STARTED claimedElsewhere"},
		{
			name: "stopped meanwhile", claimant: claimant, granted: true, tasks: []string{"j.0.0.0"}, claims: 1, want: "NOT_STARTED halted",
			during: func(d *driver) { d.halt(entryOne, 1, "j.0.0.0") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				var claims atomic.Int32
				d.manager.cfg.Claim = func(_ context.Context, job string, by *wire.Member) bool {
					claims.Add(1)
					d.Equal(by, claimant)
					time.Sleep(claimTime)
					return test.granted
				}
				d.watch(entryOne, 0)
				q := d.launchRequest(entryOne, 1, test.tasks...)
				q.Claimant = test.claimant
				_, err := d.manager.Launch(t.Context(), q)
				d.NoErr(err)
				d.sleep(1)
				d.True(test.claimant == nil || d.starts() == 0)
				if test.during != nil {
					test.during(d)
				}
				d.sleep(30)
				d.Equal(int(claims.Load()), test.claims)
				d.Equal(d.starts(), test.starts)
				ends := endsOf(d.watch(entryOne, 0))
				for _, task := range test.tasks {
					d.Equal(ends[runKey{task, 1}], test.want)
				}
			})
		})
	}
}

// TestClaimOfLaterRuns guards against capacity that is reserved in vain while each run
// of a job waits for a claim of its own.
func TestClaimOfLaterRuns(t *testing.T) {
	withDriver(t, func(d *driver) {
		var claims atomic.Int32
		var ended atomic.Bool
		d.manager.cfg.Claim = func(ctx context.Context, _ string, _ *wire.Member) bool {
			claims.Add(1)
			context.AfterFunc(ctx, func() { ended.Store(true) })
			time.Sleep(20 * time.Millisecond)
			return true
		}
		launch := func(task string, waitMillis int64) {
			d.watch(entryOne, 0)
			q := d.launchRequest(entryOne, 1, task)
			q.Claimant = &wire.Member{Incarnation: entryOne}
			q.Tasks[0].WaitMillis = waitMillis
			q.Tasks[0].Need.CpuMillis = 3600
			reply, err := d.manager.Launch(t.Context(), q)
			d.NoErr(err)
			d.True(reply.GetResults()[0].GetAccepted())
			d.Equal(reply.GetResults()[0].GetQueued(), waitMillis > 0)
		}
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "other")
		launch("j.0.0.0", 200) // waits for capacity, and is claimed meanwhile
		d.sleep(50)
		d.Equal(int(claims.Load()), 1)
		d.w.finish("other", 1, Done)
		d.sleep(10)
		d.Equal(d.w.runningTasks(), []string{"j.0.0.0"})
		d.watch(entryOne, 0)
		launch("j.0.0.1", 200)
		d.w.finish("j.0.0.0", 1, Done)
		d.sleep(10)
		d.Equal(d.w.runningTasks(), []string{"j.0.0.1"})
		d.Equal(int(claims.Load()), 1)
		d.True(!ended.Load())
		d.w.finish("j.0.0.1", 1, Done)
		d.sleep(10)
		d.True(ended.Load())
		launch("j.0.1.0", 0) // another entry may have had the job meanwhile
		d.sleep(10)
		d.Equal(int(claims.Load()), 2)
	})
}

// TestCopyAtSameAgent guards against a launch for a copy of a job that stops the runs of
// the entry that has the job.
func TestCopyAtSameAgent(t *testing.T) {
	tests := []struct {
		name string
		// before happens once the task runs for entry one.
		before func(d *driver)
		want   string
	}{
		{name: "the task runs", before: func(*driver) {}, want: wire.ReasonClaimed},
		{name: "the run is stopped", before: func(d *driver) { d.halt(entryOne, 1, "j.0.0.0") }},
		{name: "the session has ended", before: func(d *driver) { d.sleep(int(DefaultSession.Milliseconds()) + 1) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				d.mustAccept(entryOne, 1, "j.0.0.0")
				d.sleep(10)
				test.before(d)
				d.watch(entryTwo, 0)
				q := d.launchRequest(entryTwo, 1, "j.0.0.0")
				q.Claimant = &wire.Member{Incarnation: entryTwo}
				reply, err := d.manager.Launch(t.Context(), q)
				d.NoErr(err)
				d.Equal(reply.GetResults()[0].GetReason(), test.want)
				d.sleep(10)
				d.Equal(len(d.w.runningTasks()), 1)
			})
		})
	}
}
