package job

import (
	"math/rand/v2"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// pass is one attempt to place the queued jobs.
type pass struct {
	d      *Dispatcher
	now    time.Duration
	fields map[string]*servicePool
}

// servicePool holds the workers of one service during a pass.
type servicePool struct {
	links      []*link
	candidates []placement.Candidate
	barred     []bool
	// full lists needs for which no worker has capacity.
	full []fullFor
}

// fullFor is a need for which there is no capacity.
type fullFor struct {
	label string
	need  capacity.Vector
}

// place starts queued tasks that fit, in the order of the queue.
func (d *Dispatcher) place(now time.Duration) {
	if len(d.queue) == 0 || d.ctx.Err() != nil || now < d.notBefore || now-d.tickedAt > gapLimit {
		return
	}
	d.sortQueue(now)
	p := &pass{d: d, now: now, fields: map[string]*servicePool{}}
	d.queue = slices.DeleteFunc(d.queue, func(w *workItem) bool {
		if !w.durable.mayStart(d.durableJobs) {
			return false
		}
		p.placeJob(w)
		w.queued = len(w.pending) > 0
		return !w.queued
	})
}

// placeJob places as many tasks of one job as possible, with one launch per
// agent.
func (p *pass) placeJob(w *workItem) {
	f := p.servicePool(w.Service)
	w.awaitsFastWorker = false
	var launches []*launch
	w.pending = slices.DeleteFunc(w.pending, func(t *task) bool {
		i, ok := p.choose(f, w, t)
		if !ok {
			return false
		}
		launches = p.put(launches, f, i, w, t)
		return true
	})
	for _, o := range launches {
		p.d.calls.Go(o.run)
	}
}

// put adds a run of the task at worker i to the launches.
func (p *pass) put(launches []*launch, f *servicePool, i int, w *workItem, t *task) []*launch {
	l := f.links[i]
	f.candidates[i] = f.candidates[i].WithRun(t.step.need)
	r := p.d.begin(w, t, l, p.now)
	f.barred[i] = f.barred[i] || r.trial
	at := slices.IndexFunc(launches, func(o *launch) bool { return o.link == l })
	if at < 0 {
		at = len(launches)
		launches = append(launches, p.d.newLaunch(w, l, p.now))
	}
	launches[at].add(r)
	return launches
}

// choose returns the worker for one task.
func (p *pass) choose(f *servicePool, w *workItem, t *task) (int, bool) {
	s := t.step
	limited := len(t.avoid) > 0 || s.MaxPerWorker > 0
	if !limited && f.isFull(s) {
		return 0, false
	}
	wish := p.wish(w, s)
	i, verdict := placement.Choose(f.candidates, wish, func(i int) bool {
		return f.barred[i] || p.isAtLimit(f.links[i], s) || slices.Contains(t.avoid, f.links[i].word.GetId())
	})
	if verdict == placement.Unplaceable && len(t.avoid) > 0 {
		i, verdict = placement.Choose(f.candidates, wish, func(i int) bool {
			return f.barred[i] || p.isAtLimit(f.links[i], s)
		})
	}
	if verdict == placement.NoRoom && !limited {
		f.full = append(f.full, fullFor{s.Label, s.need})
	}
	w.awaitsFastWorker = w.awaitsFastWorker || verdict == placement.WaitForFaster
	return i, verdict == placement.Chosen
}

// isAtLimit reports whether a worker has as many tasks of the step as it may.
func (p *pass) isAtLimit(l *link, s *step) bool {
	return s.MaxPerWorker > 0 && s.placed[l.word.GetId()] >= s.MaxPerWorker
}

// wish returns the requirements of a step's tasks.
func (p *pass) wish(w *workItem, s *step) placement.Requirements {
	return placement.Requirements{
		Need:     s.need,
		Label:    s.Label,
		Rack:     s.Rack,
		Remote:   p.d.cfg.Remote,
		Run:      w.kindStats.expected(s.estimate),
		TimeLeft: w.dueAt() - p.now,
	}
}

// isFull reports whether no worker had capacity for a need that is no
// greater.
func (f *servicePool) isFull(s *step) bool {
	return slices.ContainsFunc(f.full, func(one fullFor) bool {
		return one.label == s.Label && one.need.Fits(s.need)
	})
}

// servicePool returns the workers of a service.
func (p *pass) servicePool(service string) *servicePool {
	f := p.fields[service]
	if f != nil {
		return f
	}
	f = &servicePool{}
	p.fields[service] = f
	var conducts []placement.WorkerHealth
	for _, l := range p.d.serving(service) {
		if !l.word.GetAccepting() || l.isSilent(p.now) || l.member.GetLeaving() {
			continue
		}
		f.links = append(f.links, l)
		f.candidates = append(f.candidates, p.candidate(l))
		conducts = append(conducts, l.conduct)
	}
	f.barred = placement.Blocked(conducts, p.now)
	return f
}

// candidate returns the input for the choice of a worker.
func (p *pass) candidate(l *link) placement.Candidate {
	c := placement.Candidate{
		Capacity:       l.capacity,
		Labels:         l.word.GetLabels(),
		Factor:         l.factor(p.now),
		SameDataCentre: p.d.cfg.DataCentre == "" || l.member.GetDataCentre() == p.d.cfg.DataCentre,
		Jitter:         rand.Float64(),
	}
	if l.mayLaunch(p.now) {
		c.Free = l.room()
	} else {
		c.Free = capacity.Vector{CPUMillis: -1}
	}
	return c
}

// serving returns the listed agents whose worker belongs to the service.
func (d *Dispatcher) serving(service string) []*link {
	var links []*link
	for _, l := range d.links {
		if !l.unlisted && l.hasState() && l.word.GetService() == service {
			links = append(links, l)
		}
	}
	return links
}
