package process

import (
	"io"
	"log/slog"
	"sync/atomic"

	"skylarklane.example/lib/event"
)

// priority of a line; the queue leaves out the lowest first.
type priority int

const (
	lowPriority    priority = iota // successes
	middlePriority                 // refusals, failures and changes
	highPriority                   // warnings and errors

	priorities = int(highPriority) + 1
)

// logCore is what the loggers of one log share.
type logCore struct {
	prefix   string
	json     bool
	clock    *upClock
	queue    *lineQueue
	sampler  *sampler
	leftOut  *leftOut
	identity atomic.Pointer[[]slog.Attr]
}

func newLogCore(part string, json bool, limits queueLimits) *logCore {
	lost := newLeftOut()
	return &logCore{
		prefix:  part + ": ",
		json:    json,
		clock:   newUpClock(),
		queue:   newLineQueue(limits, lost),
		sampler: newSampler(),
		leftOut: lost,
	}
}

// sink returns a writer that queues each line under p.
func (c *logCore) sink(p priority) io.Writer { return lineSink{queue: c.queue, priority: p} }

// lineSink queues the lines of one priority.
type lineSink struct {
	queue    *lineQueue
	priority priority
}

// Write implements io.Writer.
func (s lineSink) Write(line []byte) (int, error) {
	s.queue.push(s.priority, line)
	return len(line), nil
}

// priorityOf returns the priority of a line of an event, which is nil for
// lines outside the catalogue.
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
