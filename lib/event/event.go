// Package event is the catalogue of log events: one entry for each decision
// that affects a request or changes a process's state. The table in
// docs/OPERATIONS.md is generated from it.
package event

import (
	"context"
	"log/slog"
	"time"
)

// Class groups events by the outcome that they report for a request.
type Class int

// The classes, in increasing order of importance. A log under load drops
// successes first.
const (
	Success Class = iota
	Refusal
	Failure
	Change
)

// String names the class.
func (c Class) String() string {
	switch c {
	case Success:
		return "success"
	case Refusal:
		return "refusal"
	case Failure:
		return "failure"
	case Change:
		return "change"
	default:
		return "unknown"
	}
}

// Key is the attribute that holds the event name of a log line.
const Key = "event"

// Event describes one kind of log line.
type Event struct {
	name     string
	part     string
	level    slog.Level
	class    Class
	sentence string
	meaning  string
	fields   []Field
}

// Name is the value of the attribute Key in each line, in camelCase.
func (e *Event) Name() string { return e.name }

// Part is the role that logs the event, or "all".
func (e *Event) Part() string { return e.part }

// Level is the level of the lines.
func (e *Event) Level() slog.Level { return e.level }

// Class is the outcome that the event reports for a request.
func (e *Event) Class() Class { return e.class }

// Sentence is the message of the lines.
func (e *Event) Sentence() string { return e.sentence }

// Meaning says when the event is logged.
func (e *Event) Meaning() string { return e.meaning }

// Fields are the attributes that a line may have.
func (e *Event) Fields() []Field { return e.fields }

// LogValue implements slog.LogValuer.
func (e *Event) LogValue() slog.Value { return slog.StringValue(e.name) }

// Log writes one line. Handlers omit attributes with an empty key.
func (e *Event) Log(ctx context.Context, log *slog.Logger, attrs ...slog.Attr) {
	handler := log.Handler()
	if !handler.Enabled(ctx, e.level) {
		return
	}
	r := slog.NewRecord(time.Now(), e.level, e.sentence, 0)
	r.AddAttrs(slog.Any(Key, e))
	r.AddAttrs(attrs...)
	_ = handler.Handle(ctx, r)
}

// FromValue returns the event for a value of the attribute Key, or nil if the
// catalogue has no such event.
func FromValue(v slog.Value) *Event {
	if v.Kind() == slog.KindLogValuer {
		e, _ := v.LogValuer().(*Event)
		return e
	}
	return Lookup(v.String())
}
