package story

import (
	"strings"

	"skylarklane.example/lib/event"
)

// Text before the values of attributes in a JSON line.
const (
	markEvent   = `"event":"`
	markProcess = `"process":"`
	markMessage = `"msg":"`
	markTime    = `"time":"`
	markJob     = `"job":"`
	markTask    = `"task":"`
)

// readHeader reads only the message, time and process of a JSON line about
// another request, without parsing it: most lines of a busy system are of this
// kind. It returns nil for all other lines, which have to be parsed.
func readHeader(text, job string) *Line {
	if strings.Contains(text, job) || !strings.Contains(text, markJob) && !strings.Contains(text, markTask) {
		return nil
	}
	if event.Lookup(between(text, markEvent)) == nil || strings.Count(text, markTime) > 1 {
		return nil // a truncated line may contain a second line
	}
	l := &Line{Up: unknownUp}
	l.set(fieldMessage, between(text, markMessage))
	l.set(fieldTime, between(text, markTime))
	l.set(fieldProcess, between(text, markProcess))
	prefix, _, _ := strings.Cut(text, "{")
	l.readPrefix(prefix)
	return l
}

// between returns the text from mark to the next quote.
func between(text, mark string) string {
	_, rest, ok := strings.Cut(text, mark)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
