package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Log holds what may matter for the story of one request.
type Log struct {
	id    ID
	lines []*Line
	// seen holds the last line of each process by its name with its part,
	// whatever it is about, and ids the processes' own names.
	seen map[string]*Line
	ids  map[string]bool
	read int
}

// NewLog returns a log for the story of id, the name of a job, a task or a run.
func NewLog(id string) *Log {
	return &Log{id: parseID(id), seen: map[string]*Line{}, ids: map[string]bool{}}
}

// Read takes the lines of one file in; name stands for it in the story.
func (l *Log) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		text := scanner.Text()
		if line := skim(text, l.id.job); line != nil {
			l.see(line)
			continue
		}
		if line := parse(text); line != nil {
			line.Source = fmt.Sprintf("%s:%d", name, n)
			l.take(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return &Error{Op: "read " + name, Kind: KindRead, Err: eris.Wrap(err, "cannot read the log")}
	}
	return nil
}

// see takes in that a process lived.
func (l *Log) see(line *Line) {
	l.read++
	line.number = l.read
	l.ids[line.Process] = true
	if last := l.seen[line.Name()]; last == nil || !line.At.Before(last.At) {
		l.seen[line.Name()] = line
	}
}

// take keeps a line unless it is about another request.
func (l *Log) take(line *Line) {
	l.see(line)
	job := line.Job()
	if job == l.id.job || job == "" && isChange(line) {
		l.lines = append(l.lines, line)
	}
}

// all returns each kept line once.
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

// isChange tells whether a line says what a process believes, and not only
// what it did for one request.
func isChange(line *Line) bool {
	e := event.Lookup(line.Event)
	return e == nil || e.Class() != event.Success
}
