package entry

import (
	"time"

	"skylarklane.example/lib/ledger"
	tasks "skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// withinRetention reports whether agents still keep a record of every task that
// was started since the given time. Only then does the lack of a record prove
// that the agent never started the task.
func withinRetention(since, now time.Time) bool {
	return now.Sub(since) < tasks.RetentionTime-ledger.MaxClockSkew
}

// provenState returns the state that an agent's reply proves. It is unspecified
// if the agent may have deleted its record of the task.
func provenState(status *wire.TaskStatus, startedAt, now time.Time) wire.TaskState {
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED && !withinRetention(startedAt, now) {
		return wire.TaskState_TASK_STATE_UNSPECIFIED
	}
	return status.GetState()
}
