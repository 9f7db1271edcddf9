package story

import (
	"bytes"
	"encoding/json"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const microsPerSecond = 1e6

// objectStart is the start of a JSON line.
const objectStart = `{"`

var (
	// pairStart matches the first key=value pair of a text line.
	pairStart = regexp.MustCompile(`(?:^|\s)([A-Za-z][\w.]*)=`)
	// prefixSeconds matches a time in seconds before the line itself, as
	// written by a program that collects the output of many processes.
	prefixSeconds = regexp.MustCompile(`(?:^|[\s\[])(-?\d+\.\d+)`)
	// prefixName matches the name of a process in such a prefix.
	prefixName = regexp.MustCompile(`\b([A-Za-z][\w./-]*)`)
	// prefixEnd matches a complete prefix directly before a line.
	prefixEnd = regexp.MustCompile(`\d+\.\d+\S*\s+[A-Za-z][\w./-]*[\s|]*$`)
)

// parse parses one line of a log, JSON or key=value text with an optional
// prefix. It returns nil for other text.
func parse(text string) *Line {
	l := &Line{Up: unknownUp, Fields: map[string]string{}}
	prefix, ok := l.readJSON(text)
	if !ok {
		prefix, ok = l.readPairs(text)
	}
	if !ok || l.Message == "" {
		return nil
	}
	l.readPrefix(prefix)
	return l
}

// readJSON reads the first complete JSON object of text and returns the prefix
// before it.
func (l *Line) readJSON(text string) (prefix string, ok bool) {
	from := 0
	first := ""
	for {
		start := strings.Index(text[from:], objectStart)
		if start < 0 {
			return "", false
		}
		start += from
		if from == 0 {
			first = text[:start]
		}
		decoder := json.NewDecoder(strings.NewReader(text[start:]))
		if _, err := decoder.Token(); err == nil && l.readObject(decoder, "") {
			return prefixOf(first, text[from:start]), true
		}
		// The line may be truncated: continue with the text after it, from the
		// same or another process.
		*l = Line{Up: unknownUp, Fields: map[string]string{}}
		from = start + len(objectStart)
	}
}

// prefixOf returns the prefix of a line that follows truncated ones: its own, or
// that of the first one if it has none.
func prefixOf(first, before string) string {
	if prefixEnd.MatchString(before) {
		return before
	}
	return first
}

// readObject reads the rest of an object; names of nested fields are joined by
// dots.
func (l *Line) readObject(decoder *json.Decoder, path string) bool {
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return false
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return false
		}
		l.readValue(path+key.(string), value)
	}
	_, err := decoder.Token()
	return err == nil
}

func (l *Line) readValue(key string, value json.RawMessage) {
	var s string
	switch {
	case bytes.HasPrefix(value, []byte("{")):
		nested := json.NewDecoder(bytes.NewReader(value))
		_, _ = nested.Token()
		l.readObject(nested, key+".")
	case json.Unmarshal(value, &s) == nil:
		l.set(key, s)
	default:
		l.set(key, string(value))
	}
}

// readPairs reads key=value text and returns the prefix before it.
func (l *Line) readPairs(text string) (prefix string, ok bool) {
	first := pairStart.FindStringSubmatchIndex(text)
	if first == nil {
		return "", false
	}
	for rest := text[first[2]:]; rest != ""; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		value, left := cutValue(after)
		l.set(strings.TrimSpace(key), value)
		rest = strings.TrimLeft(left, " ")
	}
	return text[:first[2]], true
}

// cutValue splits a value, quoted or not, from the start of text.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, text[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

func (l *Line) set(key, value string) {
	switch key {
	case fieldTime:
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case fieldLevel:
		l.Level = value
	case fieldMessage:
		l.Message = value
	case fieldUp:
		l.readUp(value)
	case fieldProcess:
		l.Process = value
	case fieldIncarnation:
		l.Incarnation = value
	case "event":
		l.Event = value
	default:
		if _, known := l.Fields[key]; !known {
			l.Keys = append(l.Keys, key)
		}
		l.Fields[key] = value
	}
}

func (l *Line) readUp(value string) {
	if up, err := strconv.ParseInt(value, 10, 64); err == nil {
		l.Up = up
	}
}

// readPrefix reads the time and the process from the prefix of a line. Its time
// is by one clock for all processes, so it takes precedence over the line's
// own.
func (l *Line) readPrefix(prefix string) {
	if seconds := lastMatch(prefixSeconds, prefix); seconds != "" {
		if s, err := strconv.ParseFloat(seconds, 64); err == nil {
			l.At = time.UnixMicro(int64(math.Round(s * microsPerSecond))).UTC()
			l.collected = true
		}
	}
	if l.Process == "" {
		l.Process, _, _ = strings.Cut(lastMatch(prefixName, prefix), "/")
	}
}

// lastMatch returns the last match of r: text before the prefix may belong to a
// truncated line.
func lastMatch(r *regexp.Regexp, text string) string {
	all := r.FindAllStringSubmatch(text, -1)
	if len(all) == 0 {
		return ""
	}
	return all[len(all)-1][1]
}
