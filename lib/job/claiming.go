package job

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// claiming is a submission that asks other entries for its job.
type claiming struct {
	id string
	// asking is set while it claims the job, rather than waiting for the outcome at
	// another entry.
	asking bool
	// admitted is set once the job is this entry's to run.
	admitted bool
	// rival is an entry that was told that it may run the job.
	rival     *wire.Member
	cancelled bool
}

// beginClaim registers a submission before it asks, so that cancels and claims by
// other entries find it.
func (d *Dispatcher) beginClaim(id string) *claiming {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &claiming{id: id}
	d.claiming[id] = append(d.claiming[id], c)
	return c
}

func (d *Dispatcher) endClaim(c *claiming) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := slices.DeleteFunc(d.claiming[c.id], func(other *claiming) bool { return other == c })
	if len(left) == 0 {
		delete(d.claiming, c.id)
		return
	}
	d.claiming[c.id] = left
}

// setAsking records that a submission claims its job, or has stopped doing so.
func (d *Dispatcher) setAsking(c *claiming, asking bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.asking = asking
}

// endRivalry records that another entry does not run the job.
func (d *Dispatcher) endRivalry(c *claiming, other *wire.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wire.Same(c.rival.GetIncarnation(), other.GetIncarnation()) {
		c.rival = nil
	}
}

// win ends a claim that was granted. It returns the entry that runs the job instead,
// if there is one.
func (d *Dispatcher) win(c *claiming) (rival *wire.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.asking = false
	c.admitted = c.rival == nil
	return c.rival
}

// hasJob reports whether another entry's claim to a job has to be checked here: the
// job runs here, has ended here or is claimed by a submission.
func (d *Dispatcher) hasJob(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	job := d.jobs[id]
	ended := d.endedJobs[id]
	return job != nil && job.durable == nil || ended.outcome.isFinal() && !ended.barred ||
		slices.ContainsFunc(d.claiming[id], func(c *claiming) bool { return c.asking || c.admitted })
}

// isBarred reports whether a job was cancelled that this entry has not run.
func (d *Dispatcher) isBarred(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endedJobs[id].barred
}

// isClaimed reports whether a submission here keeps another entry from running a job.
// Of two at a time, that of the entry with the lower id goes on, whether they still ask
// or wait for each other; the other one waits for it before it may run the job.
func (d *Dispatcher) isClaimed(id string, by *wire.Member) bool {
	claimed := false
	for _, c := range d.claiming[id] {
		if c.admitted || by.GetIncarnation().GetId() > d.self.GetId() {
			claimed = true
			continue
		}
		c.rival = by
	}
	return claimed
}

// openJobs returns the ids of the best-effort jobs that this entry runs.
func (d *Dispatcher) openJobs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, job := range d.jobs {
		if job.durable == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
