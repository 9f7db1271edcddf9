package process

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"strings"

	"skylarklane.example/lib/event"
)

// Attributes that the handler reads or adds.
const (
	logJob     = "job"
	logTask    = "task"
	logUp      = "up"
	logSampled = "sampled"
)

// boundedHandler formats lines in the logging goroutine and queues them.
type boundedHandler struct {
	core *logCore
	// inner has one handler for each priority, which writes to the sink of that
	// priority.
	inner [priorities]slog.Handler
	// job is the job set by WithAttrs, if any.
	job string
}

func newBoundedHandler(core *logCore) *boundedHandler {
	h := &boundedHandler{core: core}
	for p := range h.inner {
		h.inner[p] = newLineHandler(core.sink(priority(p)), core.json)
	}
	return h
}

// Enabled implements slog.Handler.
func (h *boundedHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	e, job := h.eventAndJob(r)
	p := priorityOf(e, r.Level)
	key := r.Message
	if e != nil {
		key = e.Name()
	}
	up := h.core.clock.millis()
	keep, sampled := h.core.sampler.admit(key, p, job, up)
	if !keep {
		h.core.dropCounts.addSampled(key)
		return nil
	}
	h.core.addCommon(&r, up)
	if sampled > 1 {
		r.AddAttrs(slog.Int(logSampled, sampled))
	}
	return h.inner[p].Handle(ctx, r)
}

// eventAndJob returns the event and the job of a record. Without a job attribute
// the job is taken from the task id, JOB.OCCURRENCE.STEP.INDEX.
func (h *boundedHandler) eventAndJob(r slog.Record) (*event.Event, string) {
	var e *event.Event
	job := h.job
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case event.Key:
			e = event.FromValue(a.Value)
		case logJob:
			job = a.Value.String()
		case logTask:
			if job == "" {
				job, _, _ = strings.Cut(a.Value.String(), ".")
			}
		}
		return e == nil || job == ""
	})
	return e, job
}

// addCommon adds the prefix and the attributes common to all lines.
func (c *logCore) addCommon(r *slog.Record, up int64) {
	r.Message = c.prefix + r.Message
	if identity := c.identity.Load(); identity != nil {
		r.AddAttrs(*identity...)
	}
	r.AddAttrs(slog.Int64(logUp, up))
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := h.mapHandlers(func(inner slog.Handler) slog.Handler { return inner.WithAttrs(attrs) })
	for _, a := range attrs {
		if a.Key == logJob {
			c.job = a.Value.String()
		}
	}
	return c
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return h.mapHandlers(func(inner slog.Handler) slog.Handler { return inner.WithGroup(name) })
}

func (h *boundedHandler) mapHandlers(with func(slog.Handler) slog.Handler) *boundedHandler {
	c := *h
	for p := range c.inner {
		c.inner[p] = with(c.inner[p])
	}
	return &c
}

// hashOf returns a hash of a job id that is the same in all processes, so that
// they sample the same jobs.
func hashOf(job string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, job)
	return h.Sum64()
}
