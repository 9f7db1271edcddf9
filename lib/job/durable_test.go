package job

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

const (
	queued    = wire.JobState_JOB_STATE_QUEUED
	running   = wire.JobState_JOB_STATE_RUNNING
	completed = wire.JobState_JOB_STATE_COMPLETED
	failedJob = wire.JobState_JOB_STATE_FAILED
	cancelled = wire.JobState_JOB_STATE_CANCELLED
)

// durableJob returns a job of two steps.
func durableJob(id string) Job {
	j := newJob(id, 3)
	j.Deadline = time.Time{}
	j.Steps = append(j.Steps, Step{Count: 2, Need: j.Steps[0].Need, After: []int{0}})
	return j
}

func TestDurableJobWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newFakeAgent("a", 4000, doneAfter(50*time.Millisecond))
		s := newFakeStore()
		m, _, _ := startDurable(t, "e1", s, a)
		began := time.Now()
		is.Equal(m.d.Submit(t.Context(), durableJob("j0")), Outcome{State: Complete})
		bestEffort := time.Since(began)
		began = time.Now()
		is.Equal(m.Keep(t.Context(), durableJob("j1")).State, Stored)
		is.Equal(m.Keep(t.Context(), durableJob("j1")).State, Stored) // a repeated submission is the same job
		for s.state("j1") != completed {
			time.Sleep(time.Millisecond)
		}
		is.True(time.Since(began) <= bestEffort+2*storeTime+10*time.Millisecond)
		is.Equal(a.started(), 10)
		time.Sleep(300 * time.Millisecond)
		is.Equal(a.unacknowledged(), 0) // all ends are acknowledged
		is.Equal(len(m.d.jobs), 0)
		state, known, err := m.Read(t.Context(), "j1")
		is.NoErr(err)
		is.True(known && state == completed)
	})
}

func TestDurableOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		behave behaviour
		// then is called once the job runs.
		then   func(m *DurableManager, s *fakeStore)
		state  wire.JobState
		starts int
	}{
		{name: "all attempts fail", behave: alwaysFails, state: failedJob, starts: 3},
		{name: "cancelled here", behave: doneAfter(time.Hour), state: cancelled, starts: 1, then: func(m *DurableManager, _ *fakeStore) {
			_, _ = m.Cancel(m.d.ctx, "j1")
		}},
		{name: "cancelled elsewhere", behave: doneAfter(time.Hour), state: cancelled, starts: 1, then: func(_ *DurableManager, s *fakeStore) {
			s.set(func() { s.records["j1"].State = cancelled })
		}},
		{name: "store unavailable for a while", behave: doneAfter(300 * time.Millisecond), state: completed, starts: 1, then: func(_ *DurableManager, s *fakeStore) {
			s.set(func() { s.down = true })
			time.AfterFunc(5*time.Second, func() { s.set(func() { s.down = false }) })
		}},
		{name: "replies of the store lost", behave: doneAfter(300 * time.Millisecond), state: completed, starts: 1, then: func(_ *DurableManager, s *fakeStore) {
			s.set(func() { s.lost = true })
			time.AfterFunc(5*time.Second, func() { s.set(func() { s.lost = false }) })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newFakeAgent("a", 4000, test.behave)
				s := newFakeStore()
				m, _, _ := startDurable(t, "e1", s, a)
				j := newJob("j1", 1)
				is.Equal(m.Keep(t.Context(), j).State, Stored)
				time.Sleep(20 * time.Millisecond)
				if test.then != nil {
					test.then(m, s)
				}
				time.Sleep(200 * time.Millisecond)
				if test.behave != nil && test.state == completed {
					time.Sleep(time.Second)
					is.True(a.unacknowledged() > 0) // an end that is not stored is not acknowledged
				}
				time.Sleep(8 * time.Second)
				is.Equal(s.state("j1"), test.state)
				is.Equal(a.started(), test.starts)
				is.Equal(a.live(), 0)
				is.Equal(a.unacknowledged(), 0)
				is.Equal(len(m.d.jobs), 0)
			})
		})
	}
}

// TestDurableReplyLost loses the store's reply when a job is stored; the job
// must still run.
func TestDurableReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newFakeAgent("a", 4000, doneAfter(50*time.Millisecond))
		s := newFakeStore()
		m, _, _ := startDurable(t, "e1", s, a)
		s.set(func() { s.lost = true })
		is.Equal(m.Keep(t.Context(), durableJob("j1")).State, Unclear)
		s.set(func() { s.lost = false })
		time.Sleep(3 * time.Second)
		is.Equal(s.state("j1"), completed)
		is.Equal(a.started(), 5)
	})
}

// TestDurableTakenOver stops an entry while it runs a job; another entry must
// complete the job.
func TestDurableTakenOver(t *testing.T) {
	tests := []struct {
		name string
		// down prevents the first entry from storing ends before it fails.
		down bool
		// starts counts all runs: tasks running at the failure run again,
		// completed ones don't.
		starts int
	}{
		{name: "ends stored", starts: 7},
		{name: "ends not stored", down: true, starts: 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				// Three tasks complete early, two are running when the entry
				// fails.
				a := newFakeAgent("a", 5000, func(task string, attempt uint32) (time.Duration, wire.RunHow) {
					if attempt < 1<<attemptBitsPerOwner && (task == "j1.0.0.3" || task == "j1.0.0.4") {
						return time.Hour, wire.RunHow_RUN_HOW_DONE
					}
					return 50 * time.Millisecond, wire.RunHow_RUN_HOW_DONE
				})
				s := newFakeStore()
				first, _, stop := startDurable(t, "e1", s, a)
				second, _, _ := startDurable(t, "e2", s, a)
				is.Equal(first.Keep(t.Context(), newJob("j1", 5)).State, Stored)
				s.set(func() { s.down = test.down })
				time.Sleep(400 * time.Millisecond)
				stop()
				time.Sleep(2 * time.Second)
				s.set(func() { s.down = false; s.dead["e1"] = true })
				time.Sleep(5 * time.Second)
				is.Equal(s.state("j1"), completed)
				is.Equal(a.started(), test.starts)
				is.Equal(a.unacknowledged(), 0)
				is.Equal(len(second.d.jobs), 0)
			})
		})
	}
}

// TestDurableEndOfLaterStep guards against a completed task that runs again
// after its job was taken over: its end is stored, while its step still waits
// for an earlier one whose ends were lost.
func TestDurableEndOfLaterStep(t *testing.T) {
	tests := []struct {
		name string
		how  wire.RunHow
		// starts counts all runs: those of the first step run again.
		starts int
		state  wire.JobState
	}{
		{name: "done", how: wire.RunHow_RUN_HOW_DONE, starts: 3 + 2 + 3, state: completed},
		{name: "attempts used up", how: wire.RunHow_RUN_HOW_FAILED, starts: 3 + 2*3 + 3, state: failedJob},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := newFakeAgent("a", 5000, func(task string, _ uint32) (time.Duration, wire.RunHow) {
					if strings.HasPrefix(task, "j1.0.1.") {
						return 50 * time.Millisecond, test.how
					}
					return 50 * time.Millisecond, wire.RunHow_RUN_HOW_DONE
				})
				s := newFakeStore()
				first, _, stop := startDurable(t, "e1", s, a)
				_, _, _ = startDurable(t, "e2", s, a)
				is.Equal(first.Keep(t.Context(), durableJob("j1")).State, Stored)
				s.set(func() { s.down = true })
				time.Sleep(time.Second)
				stop()
				a.set(func() {
					a.ends["e1"] = slices.DeleteFunc(a.ends["e1"], func(end *wire.RunEnd) bool {
						return strings.HasPrefix(end.GetRun().GetTask(), "j1.0.0.")
					})
				})
				s.set(func() { s.down = false; s.dead["e1"] = true })
				time.Sleep(5 * time.Second)
				is.Equal(s.state("j1"), test.state)
				is.Equal(a.started(), test.starts)
				is.Equal(a.unacknowledged(), 0)
			})
		})
	}
}

// TestDurableLeaseExpired expires the lease of an entry: its runs must be
// stopped, and its tasks must run again once the lease is valid again.
func TestDurableLeaseExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newFakeAgent("a", 4000, func(_ string, attempt uint32) (time.Duration, wire.RunHow) {
			return time.Hour >> (20 * (attempt - 1)), wire.RunHow_RUN_HOW_DONE
		})
		s := newFakeStore()
		m, member, _ := startDurable(t, "e1", s, a)
		is.Equal(m.Keep(t.Context(), newJob("j1", 2)).State, Stored)
		time.Sleep(time.Second)
		is.Equal(a.live(), 2)
		member.setLeaseExpired(true)
		time.Sleep(200 * time.Millisecond)
		is.Equal(a.live(), 0)
		time.Sleep(2 * time.Second)
		is.Equal(a.started(), 2) // nothing is started meanwhile
		is.Equal(m.Keep(t.Context(), newJob("j2", 2)).State, NotStored)
		is.Equal(s.state("j1"), running)
		member.setLeaseExpired(false)
		time.Sleep(2 * time.Second)
		is.Equal(s.state("j1"), completed)
		is.Equal(a.started(), 4)
	})
}

// TestDurableAgentRestarted restarts an agent after a run has ended there: the
// new incarnation reports the end, and the task must not run again.
func TestDurableAgentRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newFakeAgent("a", 1000, doneAfter(100*time.Millisecond)), newFakeAgent("b", 1000, doneAfter(100*time.Millisecond))
		s := newFakeStore()
		m, _, _ := startDurable(t, "e1", s, a, b)
		is.Equal(m.Keep(t.Context(), newJob("j1", 2)).State, Stored)
		time.Sleep(50 * time.Millisecond)
		a.block("from Watch")
		time.Sleep(20 * time.Millisecond)
		a.restart(300 * time.Millisecond)
		a.set(func() {
			for key := range a.orphans {
				a.addEnd(fakeKey{"former", key.runKey}, wire.RunHow_RUN_HOW_DONE, 0)
			}
		})
		a.block()
		time.Sleep(3 * time.Second)
		is.Equal(s.state("j1"), completed)
		is.Equal(a.started()+b.started(), 2) // the completed task does not run again
	})
}
