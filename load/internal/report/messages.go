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
	var m Messages
	for _, request := range c.Requests {
		if steady(request.Name) {
			m.Steady += request.Value * messagesPerRequest
			continue
		}
		m.Work += request.Value * messagesPerRequest
	}
	m.Wasted = max(0, c.request("Agent.Start")-float64(c.Verdict.Starts)) * messagesPerRequest
	for _, counter := range c.Counters {
		if strings.Contains(counter.Name, "_wasted") {
			m.Wasted += counter.Value
		}
	}
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

func (c Cell) request(method string) float64 {
	for _, request := range c.Requests {
		if request.Name == method {
			return request.Value
		}
	}
	return 0
}
