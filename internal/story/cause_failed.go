package story

import (
	"fmt"
	"strings"
)

// rulesFailed are the rules for a job that failed.
var rulesFailed = []rule{
	reasonIs("neverFits", "neverFits", func(_ *Story, end *Line) string {
		return fmt.Sprintf("A task requests more capacity than any worker has (%s).", orUnknown(end.Fields["need"]))
	}),
	reasonIs("invalid", "invalid", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Worker %s could not parse the start request of a task.", orUnknown(end.Worker()))
	}),
	{"oneWorker", func(s *Story) string {
		failed := failedRuns(s)
		workers := workersOf(failed)
		if len(failed) < 2 || len(workers) != 1 {
			return ""
		}
		return fmt.Sprintf("All %d failed runs were on worker %s; the worker is the likely cause.", len(failed), workers[0])
	}},
	{"taskFails", func(s *Story) string {
		failed := failedRuns(s)
		if len(failed) == 0 {
			return ""
		}
		return fmt.Sprintf("Task %s failed in %d runs on %s and reached its limit of failed runs (%s); the task itself is the likely cause.",
			failed[0].Task, len(failed), strings.Join(workersOf(failed), ", "), orUnknown(s.end().Fields["maxAttempts"]))
	}},
	{"failedOtherwise", func(s *Story) string {
		return fmt.Sprintf("Entry %s failed the job for the reason %s.", s.end().Process, orUnknown(s.end().Fields[fieldReason]))
	}},
}

// failedRuns returns the failed runs of the task that failed the job, or of all
// tasks if the end of the job names none.
func failedRuns(s *Story) []*Run {
	task := s.end().Fields[fieldTask]
	var failed []*Run
	for _, r := range s.Runs {
		if r.how() == "failed" && (task == "" || r.Task == task) {
			failed = append(failed, r)
		}
	}
	return failed
}

// workersOf returns the distinct workers of the runs.
func workersOf(runs []*Run) []string {
	seen := map[string]bool{}
	var workers []string
	for _, r := range runs {
		if !seen[r.Worker] {
			seen[r.Worker] = true
			workers = append(workers, orUnknown(r.Worker))
		}
	}
	return workers
}
