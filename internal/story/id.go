package story

import "strings"

// ID names a job (JOB), a task (JOB.OCCURRENCE.STEP.INDEX) or a run
// (TASK/ATTEMPT).
type ID struct {
	job     string
	task    string
	attempt string
}

func parseID(text string) ID {
	name, attempt, _ := strings.Cut(text, "/")
	id := ID{job: jobOf(name), attempt: attempt}
	if name != id.job {
		id.task = name
	}
	return id
}

// names tells whether the line is about what the ID names. Lines about the
// whole job are.
func (id ID) names(l *Line) bool {
	if l.Job() != id.job {
		return false
	}
	task, attempt := l.Fields[fieldTask], l.Fields[fieldAttempt]
	if id.task != "" && task != "" && task != id.task {
		return false
	}
	return id.attempt == "" || attempt == "" || attempt == id.attempt
}
