package report

import "strings"

// messagesPerRequest: a request and its reply.
const messagesPerRequest = 2

// Messages sums up what a cell's processes sent each other.
type Messages struct {
	// Work are the messages of tasks and jobs.
	Work float64
	// Steady are those sent on a timer: renewals of leases.
	Steady float64
	// Wasted are the messages, among Work, that brought nothing: starts that
	// were refused, probes and borrowings in vain.
	Wasted float64
}

// Messages returns the messages of the cell by their use.
func (c Cell) Messages() Messages {
	probes := c.counter("entry_probes")
	// Probes are sent as claims, which else are sent on a timer.
	m := Messages{Work: probes * messagesPerRequest, Steady: -probes * messagesPerRequest}
	for _, request := range c.Requests {
		if steady(request.Name) {
			m.Steady += request.Value * messagesPerRequest
			continue
		}
		m.Work += request.Value * messagesPerRequest
	}
	m.Steady = max(0, m.Steady)
	vain := max(0, c.request("Agent.Start")-float64(c.Verdict.Starts)) +
		c.counter("entry_borrowings_in_vain") + c.counter("entry_offers_declined")
	// Of two probes, one leads to a start.
	m.Wasted = vain*messagesPerRequest + probes
	return m
}

// PerTask is the number of messages for each task, less 8 for each job.
func (c Cell) PerTask() float64 {
	return (c.Messages().Work - messagesPerJob*float64(c.Jobs)) / float64(max(c.Tasks, 1))
}

// messagesPerJob is what a job may cost beside its tasks.
const messagesPerJob = 8

func steady(method string) bool {
	return strings.HasPrefix(method, "Control.") || method == "Agent.Claim"
}

func (c Cell) request(method string) float64 { return find(c.Requests, method) }

func (c Cell) counter(name string) float64 { return find(c.Counters, name) }

func find(counts []Count, name string) float64 {
	for _, count := range counts {
		if count.Name == name {
			return count.Value
		}
	}
	return 0
}
