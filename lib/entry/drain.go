package entry

import (
	"context"
	"sync"
	"time"
)

// drain ends the admission of jobs. The channel is closed once none is left.
func (d *dispatcher) drain() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.checkDrained()
	return d.drained
}

// draining tells whether the entry takes no new work.
func (d *dispatcher) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// checkDrained tells those who wait that the last job has ended.
func (d *dispatcher) checkDrained() {
	if !d.leaving || len(d.jobs) > 0 {
		return
	}
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}

// giveBack returns all tokens to their agents.
func (d *dispatcher) giveBack(ctx context.Context) {
	d.mu.Lock()
	var calls []*claim
	for _, a := range d.fleet.agents {
		if c := d.claimOf(a, time.Now()); c != nil {
			calls = append(calls, c)
		}
	}
	d.mu.Unlock()
	callAll(ctx, calls)
}

// callAll makes calls, a bounded number of them at once.
func callAll(ctx context.Context, calls []*claim) {
	var group sync.WaitGroup
	places := make(chan struct{}, claimsAtOnce)
	for _, c := range calls {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			c.run(ctx)
		})
	}
	group.Wait()
}
