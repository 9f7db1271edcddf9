package event

import "log/slog"

// The parts of the system that log events; PartAll marks events of every part.
const (
	PartEntry   = "entry"
	PartAgent   = "agent"
	PartControl = "control"
	PartAll     = "all"
)

// catalogue holds the events in the order of their definition.
var catalogue []*Event

// eventsByName maps the name of each event to the event.
var eventsByName = map[string]*Event{}

// All returns the events of the catalogue.
func All() []*Event { return catalogue }

// Lookup returns the event with that name, or nil if there is none.
func Lookup(name string) *Event { return eventsByName[name] }

// section adds the events of one part to the catalogue.
type section struct {
	part string
}

// add creates an event and adds it to the catalogue.
func (s section) add(class Class, level slog.Level, name, sentence, meaning string, fields ...Field) *Event {
	e := &Event{
		name: name, part: s.part, level: level, class: class,
		sentence: sentence, meaning: meaning, fields: fields,
	}
	catalogue = append(catalogue, e)
	eventsByName[name] = e
	return e
}

func (s section) success(name, sentence, meaning string, fields ...Field) *Event {
	return s.add(Success, slog.LevelInfo, name, sentence, meaning, fields...)
}

func (s section) refusal(name, sentence, meaning string, fields ...Field) *Event {
	return s.add(Refusal, slog.LevelInfo, name, sentence, meaning, fields...)
}

func (s section) failure(name, sentence, meaning string, fields ...Field) *Event {
	return s.add(Failure, slog.LevelInfo, name, sentence, meaning, fields...)
}

func (s section) change(name, sentence, meaning string, fields ...Field) *Event {
	return s.add(Change, slog.LevelInfo, name, sentence, meaning, fields...)
}

func (s section) warning(class Class, name, sentence, meaning string, fields ...Field) *Event {
	return s.add(class, slog.LevelWarn, name, sentence, meaning, fields...)
}
