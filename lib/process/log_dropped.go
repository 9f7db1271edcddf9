package process

import (
	"bytes"
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// otherLines is the name under which lines without an event are counted.
const otherLines = "other"

// maxDroppedNames bounds the number of events listed in one report.
const maxDroppedNames = 32

// dropCounts counts dropped lines by event.
type dropCounts struct {
	wake chan struct{}

	mu      sync.Mutex
	sampled map[string]int
	noRoom  map[string]int
}

func newDropCounts() *dropCounts {
	return &dropCounts{sampled: map[string]int{}, noRoom: map[string]int{}}
}

func (l *dropCounts) addSampled(event string) { l.add(l.sampled, event) }
func (l *dropCounts) addNoRoom(event string)  { l.add(l.noRoom, event) }

func (l *dropCounts) add(counts map[string]int, event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sampled)+len(l.noRoom) == 0 {
		notify(l.wake)
	}
	if counts[event] == 0 && len(counts) >= maxDroppedNames {
		event = otherLines
	}
	counts[event]++
}

// any reports whether lines were dropped since the last call of take.
func (l *dropCounts) any() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sampled)+len(l.noRoom) > 0
}

// take returns the counts and resets them.
func (l *dropCounts) take() []slog.Attr {
	l.mu.Lock()
	defer l.mu.Unlock()
	attrs := []slog.Attr{countsOf("sampledOut", l.sampled), countsOf("noRoom", l.noRoom)}
	clear(l.sampled)
	clear(l.noRoom)
	return attrs
}

// countsOf returns counts as a group attribute; handlers omit an empty group.
func countsOf(key string, counts map[string]int) slog.Attr {
	names := slices.SortedFunc(maps.Keys(counts), cmp.Compare)
	var attrs []slog.Attr
	for _, name := range names {
		attrs = append(attrs, slog.Int(name, counts[name]))
	}
	return slog.Attr{Key: key, Value: slog.GroupValue(attrs...)}
}

// Text before the event's name in a formatted line.
var (
	eventInJSON = []byte(`"event":"`)
	eventInText = []byte(` event=`)
)

// eventIn extracts the event's name from a formatted line.
func eventIn(line []byte) string {
	if _, rest, ok := bytes.Cut(line, eventInJSON); ok {
		return cutAt(rest, '"')
	}
	if _, rest, ok := bytes.Cut(line, eventInText); ok {
		return cutAt(rest, ' ')
	}
	return otherLines
}

func cutAt(b []byte, end byte) string {
	i := bytes.IndexByte(b, end)
	if i < 0 {
		i = len(bytes.TrimSpace(b))
	}
	return string(b[:i])
}
