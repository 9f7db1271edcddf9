package process

import (
	"io"
	"log/slog"
	"sync/atomic"

	"skylarklane.example/lib/event"
)

// priority of a line; a full queue drops lines of the lowest priority first.
type priority int

const (
	lowPriority    priority = iota // successes
	middlePriority                 // refusals, failures and changes
	highPriority                   // warnings and errors

	priorities = int(highPriority) + 1
)

// logCore is the state shared by all loggers of a Log.
type logCore struct {
	prefix     string
	json       bool
	clock      *upClock
	queue      *lineQueue
	sampler    *sampler
	dropCounts *dropCounts
	identity   atomic.Pointer[[]slog.Attr]
}

func newLogCore(part string, json bool, limits queueLimits) *logCore {
	drops := newDropCounts()
	return &logCore{
		prefix:     part + ": ",
		json:       json,
		clock:      newUpClock(),
		queue:      newLineQueue(limits, drops),
		sampler:    newSampler(),
		dropCounts: drops,
	}
}

// sink returns a writer that queues each line with priority p.
func (c *logCore) sink(p priority) io.Writer { return lineSink{queue: c.queue, priority: p} }

// lineSink queues the lines of a single priority.
type lineSink struct {
	queue    *lineQueue
	priority priority
}

// Write implements io.Writer.
func (s lineSink) Write(line []byte) (int, error) {
	s.queue.push(s.priority, line)
	return len(line), nil
}

// priorityOf returns the priority of a line; e is nil for lines that are not of
// an event in the catalogue.
func priorityOf(e *event.Event, level slog.Level) priority {
	switch {
	case level >= slog.LevelWarn:
		return highPriority
	case e == nil || e.Class() == event.Success:
		return lowPriority
	default:
		return middlePriority
	}
}
