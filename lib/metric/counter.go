package metric

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Tags of counters and their values are camelCase words.
const (
	tagReason = "reason"
	tagMethod = "method"
)

// Counters are one counter for each value of a tag. They are made when first
// used.
type Counters struct {
	scope    tally.Scope
	name     string
	tag      string
	counters sync.Map
}

// Reasons returns counters by reason, such as those of refusals.
func Reasons(scope tally.Scope, name string) *Counters {
	return &Counters{scope: scope, name: name, tag: tagReason}
}

// Inc counts one for value.
func (c *Counters) Inc(value string) { c.counter(value).Inc(1) }

func (c *Counters) counter(value string) tally.Counter {
	if counter, ok := c.counters.Load(value); ok {
		return counter.(tally.Counter)
	}
	counter := c.scope.Tagged(map[string]string{c.tag: value}).Counter(c.name)
	c.counters.Store(value, counter)
	return counter
}
