package entry

import (
	"time"
)

const (
	// maxLook bounds the jobs that are looked at for a slow worker.
	maxLook = 16
	// recheckTime is when tasks that wait for a fast worker are looked at anew.
	recheckTime = 5 * time.Millisecond
)

// dispatch starts waiting tasks on idle tokens. Jobs whose tasks rather wait
// for a faster worker are passed over.
func (d *dispatcher) dispatch(k *desk) {
	now := time.Now()
	var passed []*run
	var aside []*task
	var look fasterSlots
	ahead := 0
	for k.pool.idle > 0 && len(passed) < maxLook {
		r := k.queue.top()
		if r == nil {
			break
		}
		h := k.pool.take(now, r.urgency)
		if h == nil {
			break
		}
		n := look.waiting(k, r, h, ahead, now)
		if n < len(r.ready) {
			t := k.queue.take(r, n)
			if h = k.pool.elsewhere(t, h, now); h == nil {
				aside = append(aside, t)
				continue
			}
			d.start(t, h, now)
			continue
		}
		k.pool.put(h)
		k.queue.leave(r)
		passed = append(passed, r)
		ahead += n
	}
	for _, r := range passed {
		k.queue.enter(r)
	}
	for _, t := range aside {
		k.queue.push(t)
	}
	if len(passed) > 0 {
		d.lookAgain(k)
	}
	d.borrow(k)
}

// lookAgain has a desk looked at once more, in case no task ends meanwhile.
func (d *dispatcher) lookAgain(k *desk) {
	if k.recheck {
		return
	}
	k.recheck = true
	time.AfterFunc(recheckTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		k.recheck = false
		d.dispatch(k)
	})
}
