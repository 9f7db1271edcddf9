package job

import (
	"math/rand/v2"
	"slices"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// maxUnplaced bounds the tasks of one job for which a pass finds no worker. The other
// tasks of the job are not tried in this pass, so that it ends soon.
const maxUnplaced = 512

const (
	// maxRunsPerWorker bounds the runs of this entry at one worker, so that an agent can
	// start them within a session also if they need no resources.
	maxRunsPerWorker = 512
	// maxJobRunsPerWorker is the part of it for one job, on average over the workers.
	maxJobRunsPerWorker = maxRunsPerWorker / 2
)

// placementPass is one attempt to place the tasks of all queued jobs.
type placementPass struct {
	d     *Dispatcher
	now   time.Duration
	pools map[string]*servicePool
	// evacuation tells which tasks only evacuated workers suit.
	evacuation *evacuationView
}

// servicePool holds the workers of one service during a pass.
type servicePool struct {
	links      []*link
	candidates []placement.Candidate
	excluded   []bool
	// hasPriorities is set if tasks may wait at the agents.
	hasPriorities bool
	// unmet lists needs for which no worker has capacity.
	unmet []unmetNeed
	// unstartable lists needs for which no worker is expected to have capacity
	// within the longest wait.
	unstartable []unmetNeed
	// backlog is the work ahead of the next job of the queue, computed with
	// hasBacklog.
	backlog    admission.Backlog
	hasBacklog bool
}

// unmetNeed is the need of a task for which no worker has capacity.
type unmetNeed struct {
	label string
	need  capacity.Vector
}

// place starts queued tasks that fit, in the order of the queue.
func (d *Dispatcher) place(now time.Duration) {
	if len(d.queue) == 0 || d.ctx.Err() != nil || now < d.noStartsBefore || now-d.lastTickAt > suspensionThreshold {
		return
	}
	d.sortQueue(now)
	p := &placementPass{d: d, now: now, pools: map[string]*servicePool{}, evacuation: d.newEvacuationView()}
	d.queue = slices.DeleteFunc(d.queue, func(job *activeJob) bool {
		if !job.durable.mayStart(d.durableJobs) || p.evacuation.holdsBack(job) {
			return false
		}
		p.placeJob(job)
		job.queued = len(job.pending) > 0
		return !job.queued
	})
	p.waitAtAgents()
}

// placeJob places as many tasks of one job as possible, with one launch per
// agent.
func (p *placementPass) placeJob(job *activeJob) {
	pool := p.servicePool(job.Service)
	job.awaitsFastWorker = false
	var launches []*launch
	unplaced := 0
	job.pending = slices.DeleteFunc(job.pending, func(t *task) bool {
		if unplaced == maxUnplaced || job.liveRuns >= maxJobRunsPerWorker*len(pool.links) {
			return false
		}
		i, ok := p.choose(pool, job, t)
		if !ok {
			unplaced++
			return false
		}
		launches = p.addRun(launches, pool, i, job, t, p.spareWait(pool, i, job, t))
		return true
	})
	p.send(pool, launches)
}

// send sends the launches of one job.
func (p *placementPass) send(pool *servicePool, launches []*launch) {
	for i := range pool.candidates {
		pool.candidates[i].HasJob = false
	}
	for _, call := range launches {
		p.d.calls.Go(call.run)
	}
}

// addRun adds a run of the task on worker i, which may wait there for the given
// time, to the launches.
func (p *placementPass) addRun(launches []*launch, pool *servicePool, i int, job *activeJob, t *task, wait time.Duration) []*launch {
	l := pool.links[i]
	pool.candidates[i] = pool.candidates[i].WithRun(t.step.need)
	r := p.d.beginRun(job, t, l, p.now)
	r.wait = wait
	if len(l.runs) >= maxRunsPerWorker {
		pool.candidates[i].Free = noCapacity
	}
	pool.excluded[i] = pool.excluded[i] || r.trial
	at := slices.IndexFunc(launches, func(call *launch) bool { return call.link == l })
	if at < 0 {
		at = len(launches)
		launches = append(launches, p.d.newLaunch(job, l, p.now))
	}
	launches[at].add(r)
	return launches
}

// choose returns the index of the worker for one task, and whether there is
// one. Workers on which the task failed or hung are chosen only if no other
// suits.
func (p *placementPass) choose(pool *servicePool, job *activeJob, t *task) (int, bool) {
	s := t.step
	limited := len(t.avoid) > 0 || s.MaxPerWorker > 0
	if !limited && pool.isFull(s) {
		return 0, false
	}
	requirements := p.requirements(job, s)
	if s.Rack != "" && !pool.hasLabel(s.Rack) && !p.evacuation.suitsOnlyEvacuated(job.Service, requirements.WithLabel(s.Rack)) {
		p.d.watchMore(job.Service, requirements.WithLabel(s.Rack), watchLimits.Pressed, p.now)
	}
	i, verdict := placement.Choose(pool.candidates, requirements, func(i int) bool {
		return pool.excluded[i] || p.isAtLimit(pool.links[i], s) || slices.Contains(t.avoid, pool.links[i].reported.GetId())
	})
	if verdict == placement.Unplaceable && len(t.avoid) > 0 {
		i, verdict = placement.Choose(pool.candidates, requirements, func(i int) bool {
			return pool.excluded[i] || p.isAtLimit(pool.links[i], s)
		})
	}
	if verdict == placement.NoRoom && !limited {
		pool.unmet = append(pool.unmet, unmetNeed{s.Label, s.need})
	}
	switch {
	case verdict == placement.NoRoom:
		p.d.watchMore(job.Service, requirements, watchLimits.Pressed, p.now)
	case verdict == placement.Unplaceable && !p.evacuation.suitsOnlyEvacuated(job.Service, requirements):
		p.d.watchMore(job.Service, requirements, len(p.d.links), p.now)
	}
	job.awaitsFastWorker = job.awaitsFastWorker || verdict == placement.WaitForFaster
	return i, verdict == placement.Chosen
}

// hasLabel reports whether a worker of the pool has the label.
func (pool *servicePool) hasLabel(label string) bool {
	return slices.ContainsFunc(pool.candidates, func(c placement.Candidate) bool { return slices.Contains(c.Labels, label) })
}

// isAtLimit reports whether a worker has as many tasks of the step as it may.
func (p *placementPass) isAtLimit(l *link, s *step) bool {
	return s.MaxPerWorker > 0 && s.runsAt[l.reported.GetId()] >= s.MaxPerWorker
}

// requirements returns the requirements of a step's tasks.
func (p *placementPass) requirements(job *activeJob, s *step) placement.Requirements {
	r := placement.Requirements{
		Need:         s.need,
		Label:        s.Label,
		Rack:         s.Rack,
		RemoteFactor: p.d.cfg.RemoteFactor,
		Run:          job.kindStats.expected(s.estimate),
		Priority:     job.Kind.GetPriority(),
	}
	if due := job.dueAt(); due != never {
		r.TimeLeft = due - p.now
	}
	return r
}

// isFull reports whether, earlier in this pass, no worker had capacity for a
// task with the same label that needs no more than the step's tasks.
func (pool *servicePool) isFull(s *step) bool { return includes(pool.unmet, s) }

// includes reports whether a need with the same label is at most that of the
// step's tasks.
func includes(unmet []unmetNeed, s *step) bool {
	return slices.ContainsFunc(unmet, func(one unmetNeed) bool {
		return one.label == s.Label && one.need.Fits(s.need)
	})
}

// servicePool returns the workers of a service that accept runs and whose
// agents are neither silent nor leaving.
func (p *placementPass) servicePool(service string) *servicePool {
	pool := p.pools[service]
	if pool != nil {
		return pool
	}
	pool = &servicePool{hasPriorities: p.d.cfg.HasPriorities != nil && p.d.cfg.HasPriorities(service)}
	p.pools[service] = pool
	var healths []placement.WorkerHealth
	for _, l := range p.d.linksOf(service) {
		if !l.watched || l.evacuated || !l.reported.GetAccepting() || l.isSilent(p.now) || l.member.GetLeaving() {
			continue
		}
		pool.links = append(pool.links, l)
		pool.candidates = append(pool.candidates, p.candidate(l))
		healths = append(healths, l.health)
	}
	pool.excluded = placement.Blocked(healths, p.now)
	return pool
}

// candidate describes an agent's worker for placement.Choose.
func (p *placementPass) candidate(l *link) placement.Candidate {
	c := placement.Candidate{
		Capacity:       l.capacity,
		Labels:         l.reported.GetLabels(),
		Factor:         l.speedFactor(p.now),
		SameDataCentre: p.d.cfg.DataCentre == "" || l.member.GetDataCentre() == p.d.cfg.DataCentre,
		Jitter:         rand.Float64(),
		Waiting:        l.waitingWork(),
		MeanRun:        p.d.meanRuns[l.reported.GetService()].mean,
	}
	if l.mayLaunch(p.now) && len(l.runs) < maxRunsPerWorker {
		c.TakesWaiting = p.now >= l.waitsPausedUntil
		c.Free = l.available()
	} else {
		c.Free = noCapacity // waiting for this worker is possible
	}
	return c
}

// noCapacity is the free capacity of a worker on which no task fits.
var noCapacity = capacity.Vector{CPUMillis: -1}

// linksOf returns the links to the listed agents whose worker belongs to the
// service.
func (d *Dispatcher) linksOf(service string) []*link {
	var links []*link
	for _, l := range d.links {
		if !l.unlisted && l.hasState() && l.reported.GetService() == service {
			links = append(links, l)
		}
	}
	return links
}
