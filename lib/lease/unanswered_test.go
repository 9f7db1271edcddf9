package lease

import (
	"context"
	"testing"
	"time"
)

// unanswered handles an order by not carrying it out and returning no answer
// within the timeout.
func unanswered[Q, A any](Q, func() A) (A, error) {
	var none A
	time.Sleep(callTimeout)
	return none, errNoAnswer
}

func TestRunThatEndedBeforeItsSecondStart(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.w.withLock(func() {
			d.w.onHold = unanswered[Hold, Report]
			d.w.onStart = func(q Start, apply func() Answer) (Answer, error) {
				if a := apply(); a.Refusal != Accepted {
					return a, nil
				}
				d.w.finish(q.Task, q.Run, Done)
				return unanswered[Start, Answer](q, apply)
			}
		})
		d.sleep(260)
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(150)
		d.w.withLock(func() { d.w.onHold = nil })
		d.Equal(endsOf(d.watchFor(entryOne, 300)), map[runKey]string{{"a", 1}: "DONE "})
		d.Equal(d.w.startCount("a"), 2)
	})
}

func TestUnansweredOrdersAreResolvedByHold(t *testing.T) {
	withDriver(t, func(d *driver) {
		var late []func() Answer
		d.watchFor(entryOne, 50)
		d.w.withLock(func() {
			d.w.onStart = func(q Start, apply func() Answer) (Answer, error) {
				late = append(late, apply)
				return unanswered(q, apply)
			}
			d.w.onStop = unanswered[Stop, Answer]
			d.w.onHold = unanswered[Hold, Report]
		})
		d.mustAccept(entryOne, 1, "a")
		reply := d.watchFor(entryOne, 300)
		d.Equal(len(reply.GetEnds()), 0)
		d.Equal(reply.GetWorker().GetReason(), "workerUnanswering")
		d.w.withLock(func() { d.w.onHold = nil })
		reply = d.watchFor(entryOne, 200)
		d.Equal(endsOf(reply), map[runKey]string{{"a", 1}: "NOT_STARTED unanswered"})
		d.True(reply.GetWorker().GetAccepting())
		d.Equal(len(late), maxUnansweredStarts)
		for _, apply := range late {
			d.Equal(apply().Refusal, RefusedFence)
		}
	})
}

func TestDelayedStartSurvivesHoldWithSameFence(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.w.withLock(func() {
			d.w.onStop = unanswered[Stop, Answer]
			d.w.onStart = func(_ Start, apply func() Answer) (Answer, error) {
				time.Sleep(callTimeout / 2)
				return apply(), nil
			}
		})
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(5)
		d.halt(entryOne, 1, "a")
		d.incarnation().requestHold()
		d.sleep(20)
		d.Equal(len(d.watch(entryOne, 0).GetEnds()), 0)
		d.sleep(30)
		d.Equal(d.w.runningTasks(), []string{"a"})
		d.Equal(len(d.watch(entryOne, 0).GetEnds()), 0)
	})
}

func TestStartQueuedDuringSuspensionIsNotSent(t *testing.T) {
	withDriver(t, func(d *driver) {
		for range maxConcurrentStarts {
			d.manager.startSemaphore <- struct{}{}
		}
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.clock.skipped += time.Second
		for range maxConcurrentStarts {
			<-d.manager.startSemaphore
		}
		d.sleep(1)
		d.Equal(d.w.startCount("a"), 0)
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "NOT_STARTED sessionEnd"})
	})
}

func TestRepeatedLaunchGetsSameRefusal(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.launch(entryOne, 1, "a", "b", "c", "d")
		d.sleep(5)
		q := d.launchRequest(entryOne, 1, "e")
		for range 2 {
			reply, err := d.manager.Launch(context.Background(), q)
			d.NoErr(err)
			d.Equal(reply.GetResults()[0].GetReason(), "noRoom")
			d.w.finish("a", 1, Done)
			d.sleep(5)
			d.w.withLock(func() { d.w.runs[Running{Task: "a", Run: 1}] = true })
		}
		d.mustAccept(entryOne, 2, "e")
	})
}

func TestPartialReportEndsNoRun(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.sleep(5)
		d.w.withLock(func() {
			d.w.onHold = func(_ Hold, apply func() Report) (Report, error) {
				r := apply()
				r.Running, r.Partial = nil, true
				return r, nil
			}
		})
		d.Equal(len(d.watchFor(entryOne, 600).GetEnds()), 0)
	})
}

func TestReportOfAnotherIncarnationWithSameID(t *testing.T) {
	withDriver(t, func(d *driver) {
		next := newFakeWorker("w1", 3000)
		d.workers["w1@3000"] = next
		d.watch(entryOne, 0)
		d.w.withLock(func() {
			d.w.onStart = func(q Start, _ func() Answer) (Answer, error) { return next.applyStart(q), nil }
			d.w.announcement.Born = 3000
		})
		d.mustAccept(entryOne, 1, "a")
		d.sleep(400)
		d.Equal(next.runningTasks(), nil)
		reply := d.watch(entryOne, 0)
		d.Equal(reply.GetWorker().GetReason(), "workerUnannounced")
		d.Equal(endsOf(reply), map[runKey]string{{"a", 1}: "LOST workerReplaced"})
		d.announce(next)
		d.sleep(20)
		d.True(d.watch(entryOne, 0).GetWorker().GetAccepting())
	})
}

func TestEarlierStartTimeAnnouncedBeforeMismatch(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 1, "a")
		d.w.withLock(func() { d.w.announcement.ID = "w2" })
		next := newFakeWorker("w2", 900)
		d.announce(next)
		d.sleep(20)
		d.Equal(d.watch(entryOne, 0).GetWorker().GetId(), "w2@900")
	})
}

func TestWaitingRunReservesCapacity(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.watch(entryTwo, 0)
		d.launch(entryOne, 1, "a", "b")
		d.sleep(5)
		q := d.launchRequest(entryTwo, 1, "a")
		q.Tasks[0].Need.CpuMillis = 2000
		_, err := d.manager.Launch(context.Background(), q)
		d.NoErr(err)
		d.Equal(d.launch(entryOne, 1, "c")[0].GetReason(), "noRoom")
	})
}

func TestLaunchIsRefusedIfLeaseOutlastsSession(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.watch(entryOne, 0)
		d.watchFor(entryTwo, 50)
		d.mustAccept(entryTwo, 1, "a")
		d.watchFor(entryTwo, 700)
		d.Equal(d.launch(entryOne, 1, "b")[0].GetReason(), "sessionShort")
		d.mustAccept(entryTwo, 1, "c")
		d.watch(entryOne, 0)
		d.mustAccept(entryOne, 2, "b")
	})
}

func TestLeaseIsNotExtendedBeforeTheWorkerIsCleared(t *testing.T) {
	withDriver(t, func(d *driver) {
		next := newFakeWorker("w2", 2000)
		next.runs[Running{Task: "old", Run: 3}] = true
		next.leaseUntil = 200
		next.onStop = unanswered[Stop, Answer]
		d.announce(next)
		d.sleep(150)
		d.Equal(next.runningTasks(), []string{"old"})
		d.sleep(100)
		d.Equal(next.runningTasks(), nil)
	})
}

func TestHaltWithoutASession(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.halt(entryOne, 1, "a")
		d.Equal(endsOf(d.watch(entryOne, 0)), map[runKey]string{{"a", 1}: "NOT_STARTED halted"})
	})
}

func TestUnansweredStartIsRefusedByFence(t *testing.T) {
	withDriver(t, func(d *driver) {
		var late func() Answer
		d.w.withLock(func() {
			d.w.onStart = func(q Start, apply func() Answer) (Answer, error) {
				if late == nil {
					late = apply
					return unanswered(q, apply)
				}
				return apply(), nil
			}
		})
		d.watchFor(entryOne, 50)
		d.mustAccept(entryOne, 1, "a")
		d.watchFor(entryOne, 100)
		d.Equal(late().Refusal, RefusedFence)
	})
}

func TestUnnoticedSuccessorGrantsLongerLease(t *testing.T) {
	withDriver(t, func(d *driver) {
		d.w.withLock(func() { d.w.began = d.w.began.Add(-10 * time.Second) })
		d.announce(d.w)
		next := newFakeWorker("w1", 3000)
		d.w.withLock(func() {
			d.w.onStart = func(q Start, _ func() Answer) (Answer, error) { return next.applyStart(q), nil }
			d.w.onHold = unanswered[Hold, Report]
		})
		d.watchFor(entryOne, 400)
		d.mustAccept(entryOne, 1, "a")
		reply := d.watchFor(entryOne, 50)
		for len(reply.GetEnds()) == 0 {
			reply = d.watchFor(entryOne, 50)
		}
		d.Equal(endsOf(reply), map[runKey]string{{"a", 1}: "LOST workerSilent"})
		d.Equal(next.runningTasks(), nil)
	})
}
