package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Log holds the lines that may be relevant for the story of one request.
type Log struct {
	id    ID
	lines []*Line
	// seen holds the last line of each process by Line.Name, whichever request
	// it is about, and ids the processes' ids without parts.
	seen map[string]*Line
	ids  map[string]bool
	read int
}

// NewLog returns a log for the story of id, the name of a job, a task or a run.
func NewLog(id string) *Log {
	return &Log{id: parseID(id), seen: map[string]*Line{}, ids: map[string]bool{}}
}

// Read adds the lines of one file; name identifies the file in Line.Source.
func (l *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := scanner.Text()
		if line := readHeader(text, l.id.job); line != nil {
			l.recordLast(line)
			continue
		}
		if line := parse(text); line != nil {
			line.Source = fmt.Sprintf("%s:%d", name, n)
			l.add(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read " + name, Kind: KindRead, Err: eris.Wrap(err, "cannot read the log")}
	}
	return nil
}

// recordLast counts the line and records it if it is the latest of its process.
func (l *Log) recordLast(line *Line) {
	l.read++
	line.number = l.read
	l.ids[line.Process] = true
	if last := l.seen[line.Name()]; last == nil || !line.At.Before(last.At) {
		l.seen[line.Name()] = line
	}
}

// add records a line and keeps it unless it is about another request.
func (l *Log) add(line *Line) {
	l.recordLast(line)
	job := line.Job()
	if job == l.id.job || job == "" && mayAffectOthers(line) {
		l.lines = append(l.lines, line)
	}
}

// all returns all kept lines and the last line of each process, without
// duplicates.
func (l *Log) all() []*Line {
	kept := map[*Line]bool{}
	for _, line := range l.lines {
		kept[line] = true
	}
	all := slices.Clone(l.lines)
	for _, line := range l.seen {
		if !kept[line] {
			all = append(all, line)
		}
	}
	return all
}

// mayAffectOthers reports whether a line is not of the class success, so that it
// may be relevant for requests that it does not name.
func mayAffectOthers(line *Line) bool {
	e := event.Lookup(line.Event)
	return e == nil || e.Class() != event.Success
}
