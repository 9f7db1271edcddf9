// Package story reconstructs what happened to one request from the logs of any
// number of processes: the lines that name the request and related ones, in
// order of time, the lines that are missing, and the likely cause of its end.
package story

import (
	"strconv"
	"strings"
	"time"

	"skylarklane.example/lib/event"
)

// Names of the log attributes that are evaluated; see lib/event.
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

// unknownUp is the value of Line.Up if the line has none.
const unknownUp = -1

// Line is one line of a log.
type Line struct {
	// At is when the line was logged, by a clock that is common to all lines
	// once they are aligned.
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
	// collected is set if At was written by the program that collected the
	// lines.
	collected bool
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

// Part returns the part that logged the line, or an empty string if unknown.
func (l *Line) Part() string {
	if e := event.Lookup(l.Event); e != nil && e.Part() != event.PartAll {
		return e.Part()
	}
	return l.prefix()
}

// prefix returns the part that the message starts with, or an empty string.
func (l *Line) prefix() string {
	if part, _, ok := strings.Cut(l.Message, ": "); ok && isWord(part) {
		return part
	}
	return ""
}

// Name returns the id of the process, with the part if the id does not start
// with it: an entry and an agent on one machine may have the same id.
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

// Worker returns the worker that the line names, without its incarnation.
func (l *Line) Worker() string {
	worker, _, _ := strings.Cut(l.Fields[fieldWorker], "@")
	return worker
}

// Millis returns the value of a numeric field, or 0 if there is none.
func (l *Line) Millis(field string) int64 {
	n, _ := strconv.ParseFloat(l.Fields[field], 64)
	return int64(n)
}

// owner returns the incarnation of the process that logged the line.
func (l *Line) owner() owner { return owner{l.Process, l.prefix(), l.Incarnation} }

// owner is one incarnation of a process.
type owner struct {
	process     string
	part        string
	incarnation string
}

// jobOf returns the job part of a task's name.
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
