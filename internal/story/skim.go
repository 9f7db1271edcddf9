package story

import (
	"strings"

	"skylarklane.example/lib/event"
)

// Marks of attributes in a JSON line.
const (
	markEvent   = `"event":"`
	markProcess = `"process":"`
	markMessage = `"msg":"`
	markTime    = `"time":"`
	markJob     = `"job":"`
	markTask    = `"task":"`
)

// skim returns what tells that a process lived, for a JSON line about another
// request; most lines of a busy system are. It returns nil for all others,
// which are to be parsed.
func skim(text, job string) *Line {
	if strings.Contains(text, job) || !strings.Contains(text, markJob) && !strings.Contains(text, markTask) {
		return nil
	}
	if event.Lookup(between(text, markEvent)) == nil || strings.Count(text, markTime) > 1 {
		return nil // a second line may stand in one that was cut off
	}
	l := &Line{Up: unknownUp}
	l.set(fieldMessage, between(text, markMessage))
	l.set(fieldTime, between(text, markTime))
	l.set(fieldProcess, between(text, markProcess))
	prefix, _, _ := strings.Cut(text, "{")
	l.readPrefix(prefix)
	return l
}

// between returns the text from a mark to the next quote.
func between(text, mark string) string {
	_, rest, ok := strings.Cut(text, mark)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
