package report

import "strings"

// messagesPerRequest counts the request and its reply.
const messagesPerRequest = 2

// Messages is the number of messages that a cell's processes sent each other.
type Messages struct {
	// Work is the number of messages sent for tasks and jobs.
	Work float64
	// Steady is the number of messages sent on a timer: lease renewals.
	Steady float64
	// Wasted is the number of messages in Work that had no effect: refused
	// starts, declined offers, and probes and borrow requests without success.
	Wasted float64
}

// Messages returns the messages of the cell by purpose.
func (c Cell) Messages() Messages {
	probes := c.counter("entry_probes")
	// Probes are sent as Agent.Claim requests. All other claims are sent on a
	// timer, so the probes are moved from Steady to Work.
	m := Messages{Work: probes * messagesPerRequest, Steady: -probes * messagesPerRequest}
	for _, request := range c.Requests {
		if sentOnTimer(request.Name) {
			m.Steady += request.Value * messagesPerRequest
			continue
		}
		m.Work += request.Value * messagesPerRequest
	}
	m.Steady = max(0, m.Steady)
	wastedRequests := max(0, c.request("Agent.Start")-float64(c.Verdict.Starts)) +
		c.counter("entry_borrowings_in_vain") + c.counter("entry_offers_declined")
	// Probes are sent in pairs, of which one leads to a start: half of the
	// probes, with their replies, are wasted.
	m.Wasted = wastedRequests*messagesPerRequest + probes
	return m
}

// PerTask returns the number of work messages per task, after
// messageAllowancePerJob is subtracted for each job.
func (c Cell) PerTask() float64 {
	return (c.Messages().Work - messageAllowancePerJob*float64(c.Jobs)) / float64(max(c.Tasks, 1))
}

// messageAllowancePerJob is the number of messages that a job may cost in
// addition to those for its tasks.
const messageAllowancePerJob = 8

func sentOnTimer(method string) bool {
	return strings.HasPrefix(method, "Control.") || method == "Agent.Claim"
}

func (c Cell) request(method string) float64 { return countOf(c.Requests, method) }

func (c Cell) counter(name string) float64 { return countOf(c.Counters, name) }

func countOf(counts []Count, name string) float64 {
	for _, count := range counts {
		if count.Name == name {
			return count.Value
		}
	}
	return 0
}
