package story

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
)

const (
	// relatedBefore and relatedAfter are the times before the first and after
	// the last line of the request within which other lines may be related.
	relatedBefore = 2 * time.Second
	relatedAfter  = time.Second
)

// Story is the reconstructed history of one request.
type Story struct {
	// Lines in order of time: the request's own and the related ones.
	Lines []*Line
	// own holds the request's own lines.
	own map[*Line]bool
	// Jobs are the receipts of the request, by any entry.
	Jobs []*Job
	Runs []*Run
	// LeftOut are the reports of lines dropped during the request.
	LeftOut []*Line
	// NotSeen describes expected lines that are missing.
	NotSeen []string
	Cause   Cause
}

// Own reports whether the line names the request itself.
func (s *Story) Own(l *Line) bool { return s.own[l] }

// Start returns the time of the request's first line.
func (s *Story) Start() time.Time {
	for _, l := range s.Lines {
		if s.own[l] {
			return l.At
		}
	}
	return time.Time{}
}

// Reconstruct returns the story of the request for which the log was read. The
// cause is that of the whole job, even if the log was read for a task or a run.
func Reconstruct(log *Log) (*Story, error) {
	align(log.all())
	sortLines(log.lines)
	s := &Story{own: map[*Line]bool{}}
	for _, l := range log.lines {
		if l.Job() == log.id.job {
			s.own[l] = true
		}
	}
	if len(s.own) == 0 {
		return nil, &Error{Op: "tell", Kind: KindUnknown, Err: eris.Errorf("none of the %d lines read names it", log.read)}
	}
	s.Lines = selectLines(log.lines, s.own)
	s.Jobs = jobsOf(s)
	s.Runs = runsOf(s)
	s.LeftOut = leftOutNear(log.lines, s.own)
	s.NotSeen = describeMissing(s, log)
	s.Cause = causeOf(s)
	s.Lines = slices.DeleteFunc(s.Lines, func(l *Line) bool { return s.own[l] && !log.id.names(l) })
	return s, nil
}

// of returns the lines of any of the events.
func (s *Story) of(events ...*event.Event) []*Line {
	var found []*Line
	for _, l := range s.Lines {
		if l.is(events...) {
			found = append(found, l)
		}
	}
	return found
}

// is reports whether the line is of one of the events.
func (l *Line) is(events ...*event.Event) bool {
	return slices.ContainsFunc(events, func(e *event.Event) bool { return e.Name() == l.Event })
}
