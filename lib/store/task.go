package store

import (
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

// task is the stored state of one task. It is immutable.
type task struct {
	// name is the task's name without the job id and the dot that precede it.
	name       string
	checkpoint string
	failed     uint32
	attempt    uint32
	done       bool
}

func taskFromWire(job string, t *wire.TaskRecord) task {
	return task{
		name:       strings.Clone(strings.TrimPrefix(t.GetTask(), job+".")),
		checkpoint: t.GetCheckpoint(),
		failed:     t.GetFailed(),
		attempt:    t.GetAttempt(),
		done:       t.GetDone(),
	}
}

// merge returns the task with an update applied. Counts never decrease. A
// checkpoint never replaces one of a later attempt.
func (t task) merge(update task) task {
	merged := t
	if update.checkpoint != "" && (update.attempt >= t.attempt || t.checkpoint == "") {
		merged.checkpoint = update.checkpoint
	}
	merged.attempt = max(t.attempt, update.attempt)
	merged.failed = max(t.failed, update.failed)
	merged.done = t.done || update.done
	if merged.done {
		merged.checkpoint = ""
	}
	return merged
}

func (t task) bytes() int { return taskBytes + len(t.checkpoint) }

func (t task) record(job string) *wire.TaskRecord {
	return &wire.TaskRecord{
		Task: job + "." + t.name, Done: t.done, Failed: t.failed, Attempt: t.attempt, Checkpoint: t.checkpoint,
	}
}

func compareNames(a, b task) int { return strings.Compare(a.name, b.name) }

// mergeTasks returns the tasks with the updates merged in, sorted by name. The
// arguments are not modified.
func mergeTasks(old, updates []task) []task {
	if len(updates) == 0 {
		return old
	}
	updates = slices.Clone(updates)
	slices.SortStableFunc(updates, compareNames)
	merged := make([]task, 0, len(old)+len(updates))
	for len(old) > 0 || len(updates) > 0 {
		var next task
		if len(updates) == 0 || len(old) > 0 && compareNames(old[0], updates[0]) <= 0 {
			next, old = old[0], old[1:]
		} else {
			next, updates = task{name: updates[0].name}.merge(updates[0]), updates[1:]
		}
		if n := len(merged); n > 0 && merged[n-1].name == next.name {
			merged[n-1] = merged[n-1].merge(next)
			continue
		}
		merged = append(merged, next)
	}
	return merged
}
