// Package event is the catalogue of what the system logs: one entry for each
// decision that touches a request or changes what a process believes. The
// table in docs/OPERATIONS.md is written from it.
package event

import (
	"context"
	"log/slog"
	"time"
)

// Class sorts events by what they say about a request.
type Class int

// The classes, the least important one first. A log under load leaves out the
// first ones first.
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

// Key is the attribute that holds the name of a line's event.
const Key = "event"

// Event is one kind of line.
type Event struct {
	name     string
	part     string
	level    slog.Level
	class    Class
	sentence string
	meaning  string
	fields   []Field
}

// Name is the event's name in each line, in camelCase.
func (e *Event) Name() string { return e.name }

// Part is the role that logs the event, or "all".
func (e *Event) Part() string { return e.part }

// Level is the level of the lines.
func (e *Event) Level() slog.Level { return e.level }

// Class is what the event says about a request.
func (e *Event) Class() Class { return e.class }

// Sentence is the message of the lines.
func (e *Event) Sentence() string { return e.sentence }

// Meaning says when the event is logged.
func (e *Event) Meaning() string { return e.meaning }

// Fields are the attributes that a line may have.
func (e *Event) Fields() []Field { return e.fields }

// LogValue implements slog.LogValuer.
func (e *Event) LogValue() slog.Value { return slog.StringValue(e.name) }

// Log writes one line. Attributes with an empty key are left out.
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

// Of returns the event that the value of the attribute Key stands for, nil
// where it is not one of the catalogue.
func Of(v slog.Value) *Event {
	if v.Kind() == slog.KindLogValuer {
		e, _ := v.LogValuer().(*Event)
		return e
	}
	return Lookup(v.String())
}
