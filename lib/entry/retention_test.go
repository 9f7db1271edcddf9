package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/ledger"
	tasks "skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// TestProvenState checks that an agent without a record of an old task does not
// prove that the task never started.
func TestProvenState(t *testing.T) {
	now := time.Unix(10_000, 0)
	tests := []struct {
		name  string
		state wire.TaskState
		age   time.Duration
		want  wire.TaskState
	}{
		{"young, not started", wire.TaskState_TASK_STATE_NOT_STARTED, time.Second, wire.TaskState_TASK_STATE_NOT_STARTED},
		{"old, not started", wire.TaskState_TASK_STATE_NOT_STARTED, tasks.RetentionTime, wire.TaskState_TASK_STATE_UNSPECIFIED},
		{"old within the clock skew, not started", wire.TaskState_TASK_STATE_NOT_STARTED, tasks.RetentionTime - ledger.MaxClockSkew, wire.TaskState_TASK_STATE_UNSPECIFIED},
		{"old, done", wire.TaskState_TASK_STATE_DONE, tasks.RetentionTime, wire.TaskState_TASK_STATE_DONE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status := &wire.TaskStatus{State: test.state}
			is.New(t).Equal(provenState(status, now.Add(-test.age), now), test.want)
		})
	}
}

// TestDecidedOutcome checks when a takeover may start tasks that no agent has a
// record of.
func TestDecidedOutcome(t *testing.T) {
	tests := []struct {
		name        string
		age         time.Duration
		allAnswered bool
		want        string
	}{
		{"young, all agents answered", time.Second, true, ""},
		{"young, an agent did not answer", time.Second, false, reasonUnknown},
		{"held longer than agents keep records", tasks.RetentionTime, true, reasonUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := &wire.Record{HeldAtMillis: time.Now().Add(-test.age).UnixMilli()}
			f := &fence{record: record, found: map[uint32]*foundTask{}, allAnswered: test.allAnswered}
			is.New(t).Equal(f.decidedOutcome(1).GetReason(), test.want)
		})
	}
}
