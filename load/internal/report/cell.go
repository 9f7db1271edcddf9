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

// responseTimes collects the response times of one urgency.
type responseTimes struct {
	name                                      string
	jobs                                      int
	response, central, overAlone, overCentral histogram
}

func newResponseTimes(name string) *responseTimes {
	return &responseTimes{
		name: name, response: newHistogram(), central: newHistogram(),
		overAlone: newHistogram(), overCentral: newHistogram(),
	}
}

func (r *responseTimes) add(response, alone, central time.Duration) {
	r.jobs++
	r.response.addMillis(response)
	r.central.addMillis(central)
	r.overAlone.add(float64(response) / float64(alone))
	r.overCentral.add(float64(response) / float64(central))
}

func (r *responseTimes) urgency() Urgency {
	return Urgency{
		Name: r.name, Jobs: r.jobs,
		Response: r.response.percentiles(), Central: r.central.percentiles(),
		OverAlone: r.overAlone.percentiles(), OverCentral: r.overCentral.percentiles(),
	}
}

// WithAnswers returns the cell with the outcomes of all jobs and the response
// times of the complete jobs that were sent after warmUp. The ideal response
// times are computed on the healthy workers.
func (c Cell) WithAnswers(answers []caller.Answer, jobs []trace.Job, healthy []*wire.Worker, warmUp time.Duration) Cell {
	central := ideal.Central(jobs, healthy)
	byUrgency := map[string]*responseTimes{allUrgencies: newResponseTimes(allUrgencies)}
	outcomes := fleet.Counters{}
	for n, answer := range answers {
		outcomes[outcomeName(answer)]++
		if answer.Outcome != caller.Complete || answer.Job.At < warmUp {
			continue
		}
		alone := ideal.Alone(answer.Job, healthy)
		name := urgencyName(answer.Job.Urgency)
		if byUrgency[name] == nil {
			byUrgency[name] = newResponseTimes(name)
		}
		byUrgency[name].add(answer.Response, alone, central[n])
		byUrgency[allUrgencies].add(answer.Response, alone, central[n])
	}
	for _, times := range byUrgency {
		c.Urgencies = append(c.Urgencies, times.urgency())
	}
	slices.SortFunc(c.Urgencies, func(a, b Urgency) int { return cmp.Compare(a.Name, b.Name) })
	c.Outcomes = sortedCounts(outcomes)
	return c
}

// WithCounters returns the cell with the requests by method and all other
// counters.
func (c Cell) WithCounters(counters fleet.Counters) Cell {
	requests, others := fleet.Counters{}, fleet.Counters{}
	for name, value := range counters {
		if method, ok := methodOf(name); ok {
			requests[method] += value
		} else {
			others[name] = value
		}
	}
	c.Requests, c.Counters = sortedCounts(requests), sortedCounts(others)
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

func sortedCounts(counters fleet.Counters) []Count {
	all := []Count{}
	for name, value := range counters {
		all = append(all, Count{Name: name, Value: value})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
