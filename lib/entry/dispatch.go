package entry

import (
	"time"
)

const (
	// maxPassedOver bounds the jobs that one pass examines and leaves waiting
	// for a faster worker.
	maxPassedOver = 16
	// redispatchDelay is the time until tasks that wait for a faster worker are
	// reconsidered.
	redispatchDelay = 5 * time.Millisecond
)

// dispatch starts waiting tasks on idle tokens. Jobs whose tasks should wait
// for a faster worker are passed over.
func (d *dispatcher) dispatch(svc *serviceState) {
	now := time.Now()
	var passed []*run
	var aside []*task
	var look fasterSlots
	ahead := 0
	for svc.pool.idle > 0 && len(passed) < maxPassedOver {
		r := svc.queue.top()
		if r == nil {
			break
		}
		h := svc.pool.take(now, r.urgency)
		if h == nil {
			break
		}
		n := look.countWaiting(svc, r, h, ahead, now)
		if n < len(r.ready) {
			t := svc.queue.take(r, n)
			if h = svc.pool.replaceBarred(t, h, now); h == nil {
				aside = append(aside, t)
				continue
			}
			d.start(t, h, now)
			continue
		}
		svc.pool.put(h)
		svc.queue.removeJob(r)
		passed = append(passed, r)
		ahead += n
	}
	for _, r := range passed {
		svc.queue.addJob(r)
	}
	for _, t := range aside {
		svc.queue.push(t)
	}
	if len(passed) > 0 {
		d.scheduleRedispatch(svc)
	}
	d.borrow(svc)
}

// scheduleRedispatch runs dispatch for the service again after a delay, in case
// no task ends before.
func (d *dispatcher) scheduleRedispatch(svc *serviceState) {
	if svc.redispatchPending {
		return
	}
	svc.redispatchPending = true
	time.AfterFunc(redispatchDelay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		svc.redispatchPending = false
		d.dispatch(svc)
	})
}
