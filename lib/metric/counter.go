package metric

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Tags of counters. Their values are in camelCase.
const (
	tagReason = "reason"
	tagMethod = "method"
)

// Counters holds one counter for each value of a tag. Each counter is created on
// its first use.
type Counters struct {
	scope    tally.Scope
	name     string
	tag      string
	counters sync.Map
}

// NewReasonCounters returns counters that are tagged with a reason, such as
// those of refusals.
func NewReasonCounters(scope tally.Scope, name string) *Counters {
	return &Counters{scope: scope, name: name, tag: tagReason}
}

// Inc increments the counter for value.
func (c *Counters) Inc(value string) { c.counter(value).Inc(1) }

func (c *Counters) counter(value string) tally.Counter {
	if counter, ok := c.counters.Load(value); ok {
		return counter.(tally.Counter)
	}
	counter := c.scope.Tagged(map[string]string{c.tag: value}).Counter(c.name)
	c.counters.Store(value, counter)
	return counter
}
