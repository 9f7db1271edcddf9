package lease

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestWorkerIsClearedAfterAnAgentRestart(t *testing.T) {
	withDriver(t, func(d *driver) {
		next := newFakeWorker("w2", 2000)
		next.runs[Running{Task: "old", Run: 3}] = true
		next.leaseUntil = 1000
		d.announce(next)
		d.sleep(5)
		d.True(!d.watch(entryOne, 0).GetWorker().GetCleared())
		d.Equal(d.launch(entryOne, 1, "a")[0].GetReason(), "clearing")
		d.sleep(70)
		d.Equal(next.runningTasks(), nil)
		d.True(d.watch(entryOne, 0).GetWorker().GetCleared())
		d.mustAccept(entryOne, 2, "a")
	})
}

func TestRestartUnderTheSameIDLosesRuns(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		next := newFakeWorker("w1", 2000)
		d.announce(next)
		d.sleep(50)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "LOST workerReplaced"})
		d.Equal(next.refusedUpTo["a"], uint32(1))
		d.mustAccept(entryOne, 2, "a")
		d.sleep(20)
		d.Equal(next.runningTasks(), []string{"a"})
	})
}

func TestStartThatReachesSuccessorIsStopped(t *testing.T) {
	withDriver(t, func(d *driver) {
		next := newFakeWorker("w1", 2000)
		d.watch(entryOne, 0)
		d.w.withLock(func() {
			d.w.onStart = func(q Start, _ func() Answer) (Answer, error) { return next.applyStart(q), nil }
		})
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		d.Equal(next.runningTasks(), []string{"a"})
		d.announce(next)
		d.sleep(20)
		d.Equal(len(d.watch(entryOne, 0).GetEnds()), 0)
		d.sleep(60)
		d.Equal(next.runningTasks(), nil)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "LOST workerReplaced"})
	})
}

// TestBrokenConnectionStopsStarts guards against starts that are meant for a worker
// that has crashed and reach its successor, which is of another kind (review/8).
func TestBrokenConnectionStopsStarts(t *testing.T) {
	tests := []struct {
		name string
		// crash has a call to the worker fail; down is for how many milliseconds the
		// others do.
		crash func(d *driver)
		down  int
	}{
		{"a hold fails", func(*driver) {}, 100},
		{"a start fails", func(d *driver) { d.launch(entryOne, 1, "z") }, 100},
		{"the successor is up at once", func(*driver) {}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				next := newFakeWorker("w1", 2000)
				next.announcement.Labels = []string{"slow"}
				d.workers[next.announcement.IncarnationName()] = next
				broken := true
				d.w.withLock(func() {
					d.w.onHold = func(q Hold, _ func() Report) (Report, error) {
						if broken {
							return Report{}, errBroken
						}
						return next.Hold(t.Context(), q)
					}
					d.w.onStart = func(q Start, _ func() Answer) (Answer, error) {
						if broken {
							return Answer{}, errBroken
						}
						return next.Start(t.Context(), q)
					}
					close(d.w.wake) // ends the hold under way
					d.w.wake = make(chan struct{})
				})
				test.crash(d)
				d.sleep(test.down)
				broken = false
				d.sleep(1)
				d.Equal(d.launch(entryOne, 2, "a")[0].GetReason(), "workerDisconnected")
				d.sleep(200) // the next hold is answered by the successor
				d.Equal(d.launch(entryOne, 3, "a")[0].GetReason(), "workerUnannounced")
				d.Equal(next.startCount("a"), 0)
				d.announce(next)
				d.sleep(50)
				d.mustAccept(entryOne, 4, "a")
			})
		})
	}
}

func TestOtherWorkerAtSameOrNewAddress(t *testing.T) {
	tests := []struct {
		address string
		after   int
	}{
		{"10.0.0.1:80", 0},
		{"10.0.0.2:80", 1200},
	}
	for _, tt := range tests {
		t.Run(tt.address, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				d.mustAccept(entryOne, 1, "a")
				d.sleep(10)
				next := newFakeWorker("w2", 2000)
				next.announcement.Address = tt.address
				d.announce(next)
				d.Equal(len(d.watch(entryOne, 0).GetEnds()) > 0, tt.after == 0)
				reply := d.watchFor(entryOne, tt.after)
				d.Equal(endsOf(reply), map[runKey]string{{"a", 1}: "LOST workerReplaced"})
				d.Equal(d.w.runningTasks() == nil, tt.after > 0)
			})
		})
	}
}

func TestOutdatedAnnouncementsAreIgnored(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.announce(d.w)
		late := d.w.announcement
		late.Sequence = 1
		late.Draining = true
		d.NoErr(d.manager.Announce(late))
		former := d.w.announcement
		former.ID = "w0"
		former.Born = 500
		d.NoErr(d.manager.Announce(former))
		d.Equal(d.watch(entryOne, 0).GetWorker().GetId(), "w1@1000")
		d.True(d.watch(entryOne, 0).GetWorker().GetAccepting())
	})
}

func TestEarlierStartTimeAnnouncedAfterMismatch(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.w.withLock(func() { d.w.announcement.ID = "other" })
		d.sleep(300)
		d.Equal(d.watch(entryOne, 0).GetWorker().GetReason(), "workerReplaced")
		d.announce(newFakeWorker("w2", 900))
		d.sleep(50)
		d.Equal(d.watch(entryOne, 0).GetWorker().GetId(), "w2@900")
		d.True(d.watch(entryOne, 0).GetWorker().GetAccepting())
	})
}

func TestMalformedAnnouncements(t *testing.T) {
	good := newFakeWorker("w9", 5000).announcement
	tests := []struct {
		name       string
		invalidate func(a *Announcement)
	}{
		{"no id", func(a *Announcement) { a.ID = "" }},
		{"no service", func(a *Announcement) { a.Service = "" }},
		{"no address", func(a *Announcement) { a.Address = "" }},
		{"no start time", func(a *Announcement) { a.Born = 0 }},
		{"no capacity", func(a *Announcement) { a.CPUMillis = 0 }},
		{"capacity below zero", func(a *Announcement) { a.MemoryMB = -1 }},
		{"clock below zero", func(a *Announcement) { a.ClockMillis = -1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				a := good
				tt.invalidate(&a)
				var e *Error
				d.True(errors.As(d.manager.Announce(a), &e))
				d.Equal(e.Kind, KindAnnouncement)
				d.Equal(d.watch(entryOne, 0).GetWorker().GetId(), "w1@1000")
			})
		})
	}
}

func TestSilentWorker(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		d.w.withLock(func() { d.w.silent = true })
		reply := d.watchFor(entryOne, 700)
		d.Equal(reply.GetWorker().GetReason(), "workerSilent")
		d.Equal(len(reply.GetEnds()), 0)
		reply = d.watchFor(entryOne, 1000)
		d.Equal(endsOf(reply), map[runKey]string{{"a", 1}: "LOST workerSilent"})
		d.Equal(d.w.runningTasks(), nil)
		d.w.withLock(func() { d.w.silent = false })
		reply = d.watchFor(entryOne, 700)
		d.True(reply.GetWorker().GetAccepting())
	})
}

func TestLostRunThatReappearsIsStopped(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		d.w.withLock(func() { d.w.silent = true })
		d.watchFor(entryOne, 2000)
		d.w.withLock(func() {
			d.w.runs[Running{Task: "a", Run: 1}] = true
			d.w.leaseUntil = d.w.clock() + 500
		})
		d.w.withLock(func() { d.w.silent = false })
		d.watchFor(entryOne, 700)
		d.Equal(len(d.w.stops) > 0, true)
		d.Equal(d.w.runningTasks(), nil)
	})
}

func TestRunMissingFromReportIsLost(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		d.w.withLock(func() { clear(d.w.runs) })
		d.Equal(endsOf(d.watchFor(entryOne, 600)), map[runKey]string{{"a", 1}: "LOST missing"})
	})
}

func TestHoldRepliesOutOfOrder(t *testing.T) {
	withDriver(t, func(d *driver) {
		inc := d.incarnation()
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		old, oldSeq, _, _ := d.manager.prepareHold(inc, 0)
		oldSent := d.manager.monotonic()
		oldReport := d.w.applyHold(context.Background(), old)
		d.w.finish("a", 1, Done)
		d.mustAccept(entryOne, 1, "b")
		d.sleep(10)
		d.manager.finishHold(inc, old, oldSeq, oldSent, oldReport, nil)
		d.sleep(100)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "DONE "})
		d.Equal(len(d.w.stops), 0)
		d.Equal(d.w.runningTasks(), []string{"b"})
	})
}

func TestRepeatedEndsAreProcessedOnce(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.w.withLock(func() {
			d.w.onHold = func(_ Hold, apply func() Report) (Report, error) {
				r := apply()
				r.Ended = append(r.Ended, r.Ended...)
				return r, nil
			}
		})
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(10)
		d.w.finish("a", 1, Failed)
		d.sleep(300)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "FAILED failed"})
		d.Equal(len(d.watch(entryOne, 0).GetEnds()), 1)
	})
}

func TestLeaseSurvivesEverySecondHoldUnanswered(t *testing.T) {
	withDriver(t, func(d *driver) {
		n := 0
		d.w.withLock(func() {
			d.w.onHold = func(q Hold, apply func() Report) (Report, error) {
				if n++; n%2 == 0 {
					time.Sleep(holdTimeout(q))
					return Report{}, errNoAnswer
				}
				return apply(), nil
			}
		})
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.watchFor(entryOne, 3000)
		d.Equal(d.w.runningTasks(), []string{"a"})
	})
}

func TestShutdownExtendsLeaseUntilRunsEnd(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		done := make(chan error)
		go func() { done <- d.manager.Shutdown(context.Background()) }()
		reply := d.watchFor(entryOne, 2000)
		d.Equal(reply.GetWorker().GetReason(), "leaving")
		d.Equal(d.launch(entryOne, 1, "b")[0].GetReason(), "leaving")
		d.Equal(d.w.runningTasks(), []string{"a"})
		d.w.finish("a", 1, Done)
		d.NoErr(<-done)
	})
}

// TestShutdownWaitsForEndsToBeAcknowledged guards against a shutdown that cuts
// off the report of a completed run, so that its entry takes the run for lost.
func TestShutdownWaitsForEndsToBeAcknowledged(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(20)
		returned := make(chan error, 1)
		go func() { returned <- d.manager.Shutdown(context.Background()) }()
		d.watch(entryOne, 0)
		d.w.finish("a", 1, Done)
		d.sleep(100) // the entry's next watch is on its way
		d.Equal(len(returned), 0)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "DONE "})
		d.watch(entryOne, 1)
		d.sleep(50)
		d.Equal(len(returned), 1)
		d.NoErr(<-returned)
	})
}
