package story

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
)

const (
	// before and after are how far from the request's own lines others may bear
	// on it.
	before = 2 * time.Second
	after  = time.Second
)

// Story is what happened to one request.
type Story struct {
	// Lines in order of time: the request's own and those that bear on it.
	Lines []*Line
	// own holds the request's own lines.
	own map[*Line]bool
	// Jobs are the times that the request came in, at whichever entry.
	Jobs []*Job
	Runs []*Run
	// LeftOut are the processes that left out lines meanwhile.
	LeftOut []*Line
	// NotSeen are sentences on what the lines don't tell.
	NotSeen []string
	Cause   Cause
}

// Own tells whether the line names the request itself.
func (s *Story) Own(l *Line) bool { return s.own[l] }

// Start is when the request was first seen.
func (s *Story) Start() time.Time {
	for _, l := range s.Lines {
		if s.own[l] {
			return l.At
		}
	}
	return time.Time{}
}

// Tell returns the story of the request that the log was read for. The cause is
// that of the whole job, also where a task or a run was asked for.
func Tell(log *Log) (*Story, error) {
	align(log.all())
	sortLines(log.lines)
	s := &Story{own: map[*Line]bool{}}
	for _, l := range log.lines {
		if l.Job() == log.id.job {
			s.own[l] = true
		}
	}
	if len(s.own) == 0 {
		return nil, &Error{Op: "tell", Kind: KindUnknown, Err: eris.Errorf("none of %d lines names the request", log.read)}
	}
	s.Lines = selectLines(log.lines, s.own)
	s.Jobs = jobsOf(s)
	s.Runs = runsOf(s)
	s.LeftOut = leftOutNear(log.lines, s.own)
	s.NotSeen = notSeen(s, log)
	s.Cause = causeOf(s)
	s.Lines = slices.DeleteFunc(s.Lines, func(l *Line) bool { return s.own[l] && !log.id.names(l) })
	return s, nil
}

// of returns the lines of these events.
func (s *Story) of(events ...*event.Event) []*Line {
	var found []*Line
	for _, l := range s.Lines {
		if l.is(events...) {
			found = append(found, l)
		}
	}
	return found
}

// is tells whether the line is of one of these events.
func (l *Line) is(events ...*event.Event) bool {
	return slices.ContainsFunc(events, func(e *event.Event) bool { return e.Name() == l.Event })
}
