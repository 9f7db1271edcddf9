package entry

import (
	"time"
)

const (
	// maxPassedOver is the number of jobs that wait for a faster worker after
	// which a call of dispatch stops.
	maxPassedOver = 16
	// redispatchDelay is how soon dispatch runs again for tasks that wait for a
	// faster worker.
	redispatchDelay = 5 * time.Millisecond
)

// dispatch starts waiting tasks on idle tokens. It passes over jobs whose tasks
// should all wait for a faster worker, and tasks that the agents of all idle
// tokens have barred. It then borrows tokens for the tasks that are left.
func (d *dispatcher) dispatch(svc *serviceState) {
	now := time.Now()
	var passedOver []*run
	var barred []*task
	var faster fasterSlots
	ahead := 0
	for svc.pool.idle > 0 && len(passedOver) < maxPassedOver {
		r := svc.queue.top()
		if r == nil {
			break
		}
		h := svc.pool.take(now, r.urgency)
		if h == nil {
			break
		}
		n := faster.countWaiting(svc, r, h, ahead, now)
		if n < len(r.queued) {
			t := svc.queue.take(r, n)
			if h = svc.pool.replaceBarred(t, h, now); h == nil {
				barred = append(barred, t)
				continue
			}
			d.start(t, h, now)
			continue
		}
		svc.pool.put(h)
		svc.queue.removeJob(r)
		passedOver = append(passedOver, r)
		ahead += n
	}
	for _, r := range passedOver {
		svc.queue.addJob(r)
	}
	for _, t := range barred {
		svc.queue.push(t)
	}
	if len(passedOver) > 0 {
		d.scheduleRedispatch(svc)
	}
	d.borrow(svc)
}

// scheduleRedispatch runs dispatch for the service again after redispatchDelay,
// in case no task ends earlier.
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
