package job

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// agentsOf counts the agents of a data centre and the runs of this entry there.
type agentsOf struct {
	evacuated    bool
	agents, runs int
}

// updateEvacuation applies the evacuations of the newest directory to the links.
func (d *Dispatcher) updateEvacuation() {
	dataCentres := map[string]agentsOf{}
	for _, l := range d.links {
		name := l.member.GetDataCentre()
		one, known := dataCentres[name]
		if !known {
			one.evacuated = d.cfg.IsEvacuated != nil && d.cfg.IsEvacuated(name)
		}
		one.agents++
		one.runs += len(l.runs)
		dataCentres[name] = one
		l.setEvacuated(one.evacuated)
	}
	before := d.evacuated
	d.evacuated, d.evacuatedAgents = map[string]bool{}, 0
	for name, one := range dataCentres {
		if one.evacuated {
			d.evacuated[name] = true
			d.evacuatedAgents += one.agents
		}
		if one.evacuated != before[name] {
			d.logEvent(event.EvacuationApplied, slog.String("dataCentre", name), slog.Bool("evacuated", one.evacuated),
				slog.Int("agents", one.agents), slog.Int("running", one.runs))
		}
	}
	d.metrics.evacuated.Update(float64(d.evacuatedAgents))
}

// setEvacuated records whether the agent's data centre is evacuated. After the
// evacuation, an agent that is not watched is asked soon whether it takes runs
// again.
func (l *link) setEvacuated(evacuated bool) {
	if l.evacuated && !evacuated && !l.watched {
		time.AfterFunc(rand.N(firstLookDelay), l.wake)
	}
	l.evacuated = evacuated
}

// isReturning reports whether the evacuation of the agent's data centre has
// ended, but the agent had not learned of it when it last answered.
func (l *link) isReturning() bool {
	return !l.evacuated && l.reported.GetReason() == wire.ReasonEvacuated
}

// remainingLinksOf returns the links to the service's workers that are not
// evacuated. If all are, it returns them all, as there is nothing else to base an
// expectation on.
func (d *Dispatcher) remainingLinksOf(service string) []*link {
	links := d.linksOf(service)
	remaining := slices.DeleteFunc(slices.Clone(links), func(l *link) bool { return l.evacuated })
	if len(remaining) == 0 {
		return links
	}
	return remaining
}

// hasAlternative reports whether a task whose run at this agent is stopped could
// start at another one.
func (d *Dispatcher) hasAlternative(service string, l *link) bool {
	n := 0
	for _, one := range d.linksOf(service) {
		if one == l || !one.evacuated {
			n++
		}
	}
	return n > 1
}

// taskShape is what decides which workers suit a task.
type taskShape struct {
	service, label string
	need           capacity.Vector
}

// evacuationView tells, during one pass over the queue, which tasks only
// evacuated workers suit. It keeps what it has found, as the queue has many tasks
// of few shapes.
type evacuationView struct {
	d     *Dispatcher
	found map[taskShape]bool
}

func (d *Dispatcher) newEvacuationView() *evacuationView {
	return &evacuationView{d: d, found: map[taskShape]bool{}}
}

// holdsBack reports whether a best-effort job must not begin, or can't continue,
// because one of its tasks fits only at evacuated workers.
func (v *evacuationView) holdsBack(job *activeJob) bool {
	if v.d.evacuatedAgents == 0 || job.durable != nil || job.liveRuns > 0 {
		return false
	}
	if job.started > 0 {
		return slices.ContainsFunc(job.pending, func(t *task) bool { return v.suitsOnlyEvacuated(job.Service, t.step.requirements()) })
	}
	return slices.ContainsFunc(job.steps, func(s *step) bool { return s.unfinished > 0 && v.suitsOnlyEvacuated(job.Service, s.requirements()) })
}

// requirements returns what a worker must have for the step's tasks.
func (s *step) requirements() placement.Requirements {
	return placement.Requirements{Need: s.need, Label: s.Label}
}

// suitsOnlyEvacuated reports whether evacuated workers of the service suit the
// requirements, and no other worker does.
func (v *evacuationView) suitsOnlyEvacuated(service string, r placement.Requirements) bool {
	if v.d.evacuatedAgents == 0 {
		return false
	}
	shape := taskShape{service, r.Label, r.Need}
	only, known := v.found[shape]
	if !known {
		only = v.d.suitsOnlyEvacuated(service, r)
		v.found[shape] = only
	}
	return only
}

func (d *Dispatcher) suitsOnlyEvacuated(service string, r placement.Requirements) bool {
	only := false
	for _, l := range d.links {
		switch {
		case l.unlisted:
		case !l.hasState():
			if !l.evacuated {
				return false // it may suit
			}
		case l.reported.GetService() != service || !r.Suits(l.shape()):
		case !l.evacuated:
			return false
		default:
			only = true
		}
	}
	return only
}

// shape returns the capacity and labels of the agent's worker.
func (l *link) shape() placement.Candidate {
	return placement.Candidate{Capacity: l.capacity, Labels: l.reported.GetLabels()}
}
