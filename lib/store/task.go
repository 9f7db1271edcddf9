package store

import (
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

// task is what is stored of one task; it is never changed.
type task struct {
	// name lacks the job's id and the dot after it.
	name       string
	checkpoint string
	failed     uint32
	attempt    uint32
	done       bool
}

func newTask(job string, t *wire.TaskRecord) task {
	return task{
		name:       strings.Clone(strings.TrimPrefix(t.GetTask(), job+".")),
		checkpoint: t.GetCheckpoint(),
		failed:     t.GetFailed(),
		attempt:    t.GetAttempt(),
		done:       t.GetDone(),
	}
}

// merge returns the task with what is newly noted of it. Counts only grow. The
// checkpoint of an earlier attempt takes no other's place.
func (t task) merge(news task) task {
	merged := t
	if news.checkpoint != "" && (news.attempt >= t.attempt || t.checkpoint == "") {
		merged.checkpoint = news.checkpoint
	}
	merged.attempt = max(t.attempt, news.attempt)
	merged.failed = max(t.failed, news.failed)
	merged.done = t.done || news.done
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

func byName(a, b task) int { return strings.Compare(a.name, b.name) }

// mergeTasks returns the tasks with the news, sorted by name. Neither list is
// changed.
func mergeTasks(old, news []task) []task {
	if len(news) == 0 {
		return old
	}
	news = slices.Clone(news)
	slices.SortStableFunc(news, byName)
	merged := make([]task, 0, len(old)+len(news))
	for len(old) > 0 || len(news) > 0 {
		var next task
		if len(news) == 0 || len(old) > 0 && byName(old[0], news[0]) <= 0 {
			next, old = old[0], old[1:]
		} else {
			next, news = task{name: news[0].name}.merge(news[0]), news[1:]
		}
		if n := len(merged); n > 0 && merged[n-1].name == next.name {
			merged[n-1] = merged[n-1].merge(next)
			continue
		}
		merged = append(merged, next)
	}
	return merged
}
