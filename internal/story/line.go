// Package story tells what happened to one request from the logs of any number
// of processes: the lines that name it and those that bear on it, in order of
// time, what was not seen, and the likely cause.
package story

import (
	"strconv"
	"strings"
	"time"

	"skylarklane.example/lib/event"
)

// Names of the attributes that the story reads; see lib/event.
const (
	fieldTime        = "time"
	fieldLevel       = "level"
	fieldMessage     = "msg"
	fieldUp          = "up"
	fieldProcess     = "process"
	fieldIncarnation = "incarnation"
	fieldJob         = "job"
	fieldTask        = "task"
	fieldAttempt     = "attempt"
	fieldWorker      = "worker"
	fieldAgent       = "agent"
	fieldEntry       = "entry"
	fieldReason      = "reason"
	fieldHow         = "how"
	fieldAge         = "ageMillis"
	fieldRuns        = "runs"
	fieldDetail      = "detail"
	fieldDeadline    = "deadlineMillis"
	fieldDue         = "dueMillis"
	fieldAnswered    = "answeredMillis"
	fieldEnded       = "endedMillis"
)

// unknownUp is the time since its start of a process that told none.
const unknownUp = -1

// Line is one line of a log.
type Line struct {
	// At is when the line was logged, on the scale of all lines.
	At time.Time
	// Up is the time since the process started in milliseconds.
	Up          int64
	Process     string
	Incarnation string
	Level       string
	Event       string
	Message     string
	Fields      map[string]string
	// Keys are the names of the fields in their order.
	Keys []string
	// Source is the file and the number of the line in it.
	Source string
	number int
	// gathered is set where At is the clock of who gathered the lines.
	gathered bool
}

// Job returns the job that the line names, if any. Tasks are named
// JOB.OCCURRENCE.STEP.INDEX.
func (l *Line) Job() string {
	if job := l.Fields[fieldJob]; job != "" {
		return job
	}
	if task := l.Fields[fieldTask]; task != "" {
		return jobOf(task)
	}
	return jobOf(l.Fields[fieldRuns])
}

// Part returns the part that logged the line, empty where it isn't known.
func (l *Line) Part() string {
	if e := event.Lookup(l.Event); e != nil && e.Part() != event.PartAll {
		return e.Part()
	}
	return l.prefix()
}

// prefix returns the part that the message starts with, empty where there is
// none.
func (l *Line) prefix() string {
	if part, _, ok := strings.Cut(l.Message, ": "); ok && isWord(part) {
		return part
	}
	return ""
}

// Name returns the process, and its part where two of one name may run on one
// machine.
func (l *Line) Name() string {
	if part := l.prefix(); part != "" && !strings.HasPrefix(l.Process, part) {
		return l.Process + "/" + part
	}
	return l.Process
}

// Sentence returns the message without the part.
func (l *Line) Sentence() string {
	if part := l.prefix(); part != "" {
		return l.Message[len(part)+len(": "):]
	}
	return l.Message
}

// Worker returns the worker that the line names, without its life.
func (l *Line) Worker() string {
	worker, _, _ := strings.Cut(l.Fields[fieldWorker], "@")
	return worker
}

// Millis returns a number of a field, 0 where there is none.
func (l *Line) Millis(field string) int64 {
	n, _ := strconv.ParseFloat(l.Fields[field], 64)
	return int64(n)
}

// owner names the process and its incarnation.
func (l *Line) owner() owner { return owner{l.Process, l.prefix(), l.Incarnation} }

// owner is one incarnation of a process.
type owner struct {
	process     string
	part        string
	incarnation string
}

// jobOf returns the job of a task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

func isWord(s string) bool {
	for _, r := range s {
		if r != '-' && (r < 'a' || r > 'z') {
			return false
		}
	}
	return s != ""
}
