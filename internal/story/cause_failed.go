package story

import (
	"fmt"
	"strings"
)

// rulesFailed explain a job that failed.
var rulesFailed = []rule{
	reasonIs("neverFits", "neverFits", func(_ *Story, end *Line) string {
		return fmt.Sprintf("A task asks for more than any worker has (%s).", orUnknown(end.Fields["need"]))
	}),
	reasonIs("invalid", "invalid", func(_ *Story, end *Line) string {
		return fmt.Sprintf("Worker %s can't read the order of a task.", orUnknown(end.Worker()))
	}),
	{"oneWorker", func(s *Story) string {
		failed := failedRuns(s)
		workers := workersOf(failed)
		if len(failed) < 2 || len(workers) != 1 {
			return ""
		}
		return fmt.Sprintf("All %d failed runs were on worker %s: the worker is the likely cause.", len(failed), workers[0])
	}},
	{"taskFails", func(s *Story) string {
		failed := failedRuns(s)
		if len(failed) == 0 {
			return ""
		}
		return fmt.Sprintf("Task %s failed in %d runs on %s, as often as it may (%s): the task itself is the likely cause.",
			failed[0].Task, len(failed), strings.Join(workersOf(failed), ", "), orUnknown(s.end().Fields["maxAttempts"]))
	}},
	{"failedOtherwise", func(s *Story) string {
		return fmt.Sprintf("Entry %s gave the job up for the reason %s.", s.end().Process, orUnknown(s.end().Fields[fieldReason]))
	}},
}

// failedRuns returns the runs of the task that failed the job, or of all where
// that isn't told.
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

// workersOf returns the workers of the runs, each once.
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
