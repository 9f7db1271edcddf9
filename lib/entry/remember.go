package entry

import (
	"time"

	"skylarklane.example/lib/ledger"
	tasks "skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// remembered tells whether agents still know of every task that was started
// since a time, so that one they don't know of never started.
func remembered(since, now time.Time) bool {
	return now.Sub(since) < tasks.KeepTime-ledger.MaxClockSkew
}

// stateOf returns what an agent's answer proves about a task; unspecified
// where it may only have been forgotten.
func stateOf(status *wire.TaskStatus, startedAt, now time.Time) wire.TaskState {
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED && !remembered(startedAt, now) {
		return wire.TaskState_TASK_STATE_UNSPECIFIED
	}
	return status.GetState()
}
