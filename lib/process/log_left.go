package process

import (
	"bytes"
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// otherLines stands for lines outside the catalogue of events.
const otherLines = "other"

// maxLeftOutNames bounds the events that one report names.
const maxLeftOutNames = 32

// leftOut counts the lines that were left out, by event.
type leftOut struct {
	wake chan struct{}

	mu      sync.Mutex
	sampled map[string]int
	noRoom  map[string]int
}

func newLeftOut() *leftOut {
	return &leftOut{sampled: map[string]int{}, noRoom: map[string]int{}}
}

func (l *leftOut) addSampled(event string) { l.add(l.sampled, event) }
func (l *leftOut) addNoRoom(event string)  { l.add(l.noRoom, event) }

func (l *leftOut) add(counts map[string]int, event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sampled)+len(l.noRoom) == 0 {
		notify(l.wake)
	}
	if counts[event] == 0 && len(counts) >= maxLeftOutNames {
		event = otherLines
	}
	counts[event]++
}

// any tells whether lines were left out since the last take.
func (l *leftOut) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sampled)+len(l.noRoom) > 0
}

// take returns the counts and starts anew.
func (l *leftOut) take() []slog.Attr {
	l.mu.Lock()
	defer l.mu.Unlock()
	attrs := []slog.Attr{countsOf("sampledOut", l.sampled), countsOf("noRoom", l.noRoom)}
	clear(l.sampled)
	clear(l.noRoom)
	return attrs
}

// countsOf returns counts as a group; an empty group is left out of the line.
func countsOf(key string, counts map[string]int) slog.Attr {
	names := slices.SortedFunc(maps.Keys(counts), cmp.Compare)
	var attrs []slog.Attr
	for _, name := range names {
		attrs = append(attrs, slog.Int(name, counts[name]))
	}
	return slog.Attr{Key: key, Value: slog.GroupValue(attrs...)}
}

// Marks of the event's name in a formatted line.
var (
	eventInJSON = []byte(`"event":"`)
	eventInText = []byte(` event=`)
)

// eventIn returns the name of the event of a formatted line.
func eventIn(line []byte) string {
	if _, rest, ok := bytes.Cut(line, eventInJSON); ok {
		return upTo(rest, '"')
	}
	if _, rest, ok := bytes.Cut(line, eventInText); ok {
		return upTo(rest, ' ')
	}
	return otherLines
}

func upTo(b []byte, end byte) string {
	i := bytes.IndexByte(b, end)
	if i < 0 {
		i = len(bytes.TrimSpace(b))
	}
	return string(b[:i])
}
