package story

import (
	"slices"
	"strings"
)

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
	names := runNames(l)
	return len(names) == 0 || slices.ContainsFunc(names, id.holds)
}

// holds tells whether the run is the one named, or of the task or job named.
func (id ID) holds(name runName) bool {
	return (id.task == "" || name.task == id.task) && (id.attempt == "" || name.attempt == id.attempt)
}
