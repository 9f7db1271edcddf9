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

// names reports whether the line concerns the job, task or run of the ID. Lines
// about the whole job concern all its tasks and runs.
func (id ID) names(l *Line) bool {
	if l.Job() != id.job {
		return false
	}
	names := runNames(l)
	return len(names) == 0 || slices.ContainsFunc(names, id.matchesRun)
}

// matchesRun reports whether the run is that of the ID, or one of its task or
// job.
func (id ID) matchesRun(name runName) bool {
	return (id.task == "" || name.task == id.task) && (id.attempt == "" || name.attempt == id.attempt)
}
