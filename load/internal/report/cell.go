package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/caller"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/ideal"
	"skylarklane.example/load/internal/trace"
)

const allUrgencies = "all"

// gauge gathers the response times of one urgency.
type gauge struct {
	name                                      string
	jobs                                      int
	response, central, overAlone, overCentral histogram
}

func newGauge(name string) *gauge {
	return &gauge{
		name: name, response: newHistogram(), central: newHistogram(),
		overAlone: newHistogram(), overCentral: newHistogram(),
	}
}

func (g *gauge) add(response, alone, central time.Duration) {
	g.jobs++
	g.response.addMillis(response)
	g.central.addMillis(central)
	g.overAlone.add(float64(response) / float64(alone))
	g.overCentral.add(float64(response) / float64(central))
}

func (g *gauge) urgency() Urgency {
	return Urgency{
		Name: g.name, Jobs: g.jobs,
		Response: g.response.percentiles(), Central: g.central.percentiles(),
		OverAlone: g.overAlone.percentiles(), OverCentral: g.overCentral.percentiles(),
	}
}

// WithAnswers adds the response times and outcomes of the jobs that were sent
// after warmUp. Healthy are the workers that the ideal may use.
func (c Cell) WithAnswers(answers []caller.Answer, jobs []trace.Job, healthy []*wire.Worker, warmUp time.Duration) Cell {
	central := ideal.Central(jobs, healthy)
	gauges := map[string]*gauge{allUrgencies: newGauge(allUrgencies)}
	outcomes := fleet.Counters{}
	for n, answer := range answers {
		outcomes[outcomeName(answer)]++
		if answer.Outcome != caller.Complete || answer.Job.At < warmUp {
			continue
		}
		alone := ideal.Alone(answer.Job, healthy)
		name := urgencyName(answer.Job.Urgency)
		if gauges[name] == nil {
			gauges[name] = newGauge(name)
		}
		gauges[name].add(answer.Response, alone, central[n])
		gauges[allUrgencies].add(answer.Response, alone, central[n])
	}
	for _, g := range gauges {
		c.Urgencies = append(c.Urgencies, g.urgency())
	}
	slices.SortFunc(c.Urgencies, func(a, b Urgency) int { return cmp.Compare(a.Name, b.Name) })
	c.Outcomes = counts(outcomes)
	return c
}

// WithCounters adds the requests by method and all other counters.
func (c Cell) WithCounters(counters fleet.Counters) Cell {
	requests, others := fleet.Counters{}, fleet.Counters{}
	for name, value := range counters {
		if method, ok := methodOf(name); ok {
			requests[method] += value
		} else {
			others[name] = value
		}
	}
	c.Requests, c.Counters = counts(requests), counts(others)
	return c
}

// Urgency returns the named urgency.
func (c Cell) Urgency(name string) Urgency {
	for _, u := range c.Urgencies {
		if u.Name == name {
			return u
		}
	}
	return Urgency{Name: name}
}

// methodOf returns Agent.Start for agent_requests{method="Agent.Start"}.
func methodOf(name string) (string, bool) {
	_, method, ok := strings.Cut(name, `_requests{method="`)
	return strings.TrimSuffix(method, `"}`), ok
}

func outcomeName(answer caller.Answer) string {
	name := string(answer.Outcome)
	if answer.Reason != "" {
		name += "/" + answer.Reason
	}
	if answer.Cancelled {
		name += " (cancelled)"
	}
	return name
}

func urgencyName(u wire.Urgency) string {
	return strings.ToLower(strings.TrimPrefix(u.String(), "URGENCY_"))
}

func counts(counters fleet.Counters) []Count {
	all := []Count{}
	for name, value := range counters {
		all = append(all, Count{Name: name, Value: value})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
