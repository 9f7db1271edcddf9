package store

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// memberSet is the membership of a test.
type memberSet map[owner]bool

// IsMember implements Members.
func (s memberSet) IsMember(who *wire.Incarnation) bool { return s[ownerOf(who)] }

var (
	one          = &wire.Incarnation{Id: "one", Number: 1}
	two          = &wire.Incarnation{Id: "two", Number: 1}
	oneRestarted = &wire.Incarnation{Id: "one", Number: 2}
)

func allMembers() memberSet { return memberSet{ownerOf(one): true, ownerOf(two): true} }

func job(id, spec string) *wire.KeptJob {
	return &wire.KeptJob{Id: id, Service: "sizing", Kind: "fins", Spec: []byte(spec), Steps: []*wire.KeptStep{{Count: 2}}}
}

func keepCommand(who *wire.Incarnation, id, spec string) *wire.StoreCommand {
	return &wire.StoreCommand{Command: &wire.StoreCommand_Keep{Keep: &wire.KeepRequest{Owner: who, Job: job(id, spec)}}}
}

func noteCommand(who *wire.Incarnation, epoch uint64, state wire.JobState, tasks ...*wire.TaskRecord) *wire.StoreCommand {
	n := &wire.JobNote{Id: "a", Epoch: epoch, State: state, Tasks: tasks}
	return &wire.StoreCommand{AtMillis: 7, Command: &wire.StoreCommand_Note{Note: &wire.NoteRequest{Owner: who, Notes: []*wire.JobNote{n}}}}
}

func cancelCommand(id string) *wire.StoreCommand {
	return &wire.StoreCommand{AtMillis: 8, Command: &wire.StoreCommand_Cancel{Cancel: &wire.CancelKeptRequest{Id: id}}}
}

func claimCommand(who *wire.Incarnation, id string, epoch uint64) *wire.StoreCommand {
	c := &wire.StoreClaim{Owner: who, Jobs: []*wire.HeldJob{{Id: id, Epoch: epoch}}}
	return &wire.StoreCommand{Command: &wire.StoreCommand_Claim{Claim: c}}
}

func forgetCommand(until uint64) *wire.StoreCommand {
	return &wire.StoreCommand{Command: &wire.StoreCommand_Forget{Forget: &wire.StoreForget{Until: until}}}
}

const (
	queued    = wire.JobState_JOB_STATE_QUEUED
	running   = wire.JobState_JOB_STATE_RUNNING
	completed = wire.JobState_JOB_STATE_COMPLETED
	failed    = wire.JobState_JOB_STATE_FAILED
	cancelled = wire.JobState_JOB_STATE_CANCELLED
)

// TestApply applies commands in order and checks the last result and the stored
// state of job "a".
func TestApply(t *testing.T) {
	stored := &wire.KeepReply{Stored: true, Epoch: 1}
	noted := func(state wire.JobState) *wire.NoteReply {
		return &wire.NoteReply{Results: []*wire.NoteResult{{Stored: true, State: state}}}
	}
	refused := func(reason string, state wire.JobState) *wire.NoteReply {
		return &wire.NoteReply{Results: []*wire.NoteResult{{Reason: reason, State: state}}}
	}
	without := func(who *wire.Incarnation) memberSet {
		set := allMembers()
		delete(set, ownerOf(who))
		return set
	}
	kept := keepCommand(one, "a", "x")
	for _, test := range []struct {
		name     string
		members  memberSet
		commands []*wire.StoreCommand
		want     any
		state    wire.JobState
		owner    *wire.Incarnation
		epoch    uint64
	}{
		{"keep", allMembers(), []*wire.StoreCommand{kept}, stored, queued, one, 1},
		{"keep again", allMembers(), []*wire.StoreCommand{kept, kept}, &wire.KeepReply{Stored: true, Known: true, Epoch: 1}, queued, one, 1},
		{"keep by another owner", allMembers(), []*wire.StoreCommand{kept, keepCommand(two, "a", "x")}, &wire.KeepReply{Stored: true, Known: true}, queued, one, 1},
		{"keep other content", allMembers(), []*wire.StoreCommand{kept, keepCommand(one, "a", "y")}, &wire.KeepReply{Known: true, Reason: ReasonOtherContent}, queued, one, 1},
		{"keep by a dead owner", without(one), []*wire.StoreCommand{kept}, &wire.KeepReply{Reason: ReasonNotMember}, 0, nil, 0},
		{"keep without id", allMembers(), []*wire.StoreCommand{keepCommand(one, "", "x")}, &wire.KeepReply{Reason: ReasonBadJob}, 0, nil, 0},
		{"keep after the end", allMembers(), []*wire.StoreCommand{kept, noteCommand(one, 1, completed), kept}, &wire.KeepReply{Stored: true, Known: true}, completed, one, 1},
		{"job limit reached", allMembers(), []*wire.StoreCommand{kept, keepCommand(one, "b", "x"), keepCommand(one, "c", "x"), keepCommand(one, "d", "x")}, &wire.KeepReply{Reason: ReasonFull}, queued, one, 1},
		{"byte limit reached", allMembers(), []*wire.StoreCommand{kept, keepCommand(one, "b", string(make([]byte, 4000)))}, &wire.KeepReply{Reason: ReasonFull}, queued, one, 1},
		{"note", allMembers(), []*wire.StoreCommand{kept, noteCommand(one, 1, running)}, noted(running), running, one, 1},
		{"note of an older state", allMembers(), []*wire.StoreCommand{kept, noteCommand(one, 1, running), noteCommand(one, 1, queued)}, noted(running), running, one, 1},
		{"note by another owner", allMembers(), []*wire.StoreCommand{kept, noteCommand(two, 1, completed)}, refused(ReasonNotOwner, queued), queued, one, 1},
		{"note by a later incarnation", allMembers(), []*wire.StoreCommand{kept, noteCommand(oneRestarted, 1, completed)}, refused(ReasonNotOwner, queued), queued, one, 1},
		{"note for an unknown job", allMembers(), []*wire.StoreCommand{noteCommand(one, 1, running)}, refused(ReasonUnknownJob, 0), 0, nil, 0},
		{"end twice", allMembers(), []*wire.StoreCommand{kept, noteCommand(one, 1, completed), noteCommand(one, 1, completed)}, noted(completed), completed, one, 1},
		{"failed after the end", allMembers(), []*wire.StoreCommand{kept, noteCommand(one, 1, completed), noteCommand(one, 1, failed)}, noted(completed), completed, one, 1},
		{"cancel", allMembers(), []*wire.StoreCommand{kept, cancelCommand("a")}, &wire.CancelKeptReply{Known: true, State: cancelled, Owner: one}, cancelled, one, 1},
		{"cancel after the end", allMembers(), []*wire.StoreCommand{kept, noteCommand(one, 1, completed), cancelCommand("a")}, &wire.CancelKeptReply{Known: true, State: completed, Owner: one}, completed, one, 1},
		{"end after the cancel", allMembers(), []*wire.StoreCommand{kept, cancelCommand("a"), noteCommand(one, 1, completed)}, noted(cancelled), cancelled, one, 1},
		{"cancel of an unknown job", allMembers(), []*wire.StoreCommand{cancelCommand("a")}, &wire.CancelKeptReply{}, 0, nil, 0},
		{"claim of a live owner's job", allMembers(), []*wire.StoreCommand{kept, claimCommand(two, "a", 1)}, 0, queued, one, 1},
		{"claim by a dead owner", without(two), []*wire.StoreCommand{kept, claimCommand(two, "a", 1)}, 0, queued, one, 1},
		{"claim with another epoch", allMembers(), []*wire.StoreCommand{kept, claimCommand(two, "a", 2)}, 0, queued, one, 1},
		{"forget keeps a job that has not ended", allMembers(), []*wire.StoreCommand{kept, forgetCommand(5)}, nil, queued, one, 1},
		{"forget removes an ended job", allMembers(), []*wire.StoreCommand{kept, cancelCommand("a"), forgetCommand(1)}, nil, 0, nil, 0},
		{"forget removes no more than asked", allMembers(), []*wire.StoreCommand{keepCommand(one, "b", "x"), cancelCommand("b"), kept, cancelCommand("a"), forgetCommand(1)}, nil, cancelled, one, 1},
		{"keep after it is forgotten", allMembers(), []*wire.StoreCommand{kept, cancelCommand("a"), forgetCommand(1), kept}, stored, queued, one, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine(Limits{Jobs: 3, Bytes: 3000})
			var got any
			for _, command := range test.commands {
				got = m.Apply(command, test.members)
			}
			is.True(sameResult(got, test.want))
			r := m.jobs["a"]
			is.Equal(r != nil, test.owner != nil)
			if r != nil {
				is.Equal(r.state, test.state)
				is.True(wire.Same(r.owner, test.owner))
				is.Equal(r.epoch, test.epoch)
			}
			is.Equal(m.queuedCount[queue{"sizing", "fins"}], uint64(countQueued(m)))
			restored := NewMachine(m.limits)
			is.NoErr(restored.Restore(m.Snapshot()))
			is.Equal(restored.Snapshot(), m.Snapshot())
			is.Equal(restored.bytes, m.bytes)
			is.Equal(restored.activeByOwner, m.activeByOwner)
		})
	}
}

// sameResult compares results. If want is an int, it is the number of claimed
// jobs.
func sameResult(got, want any) bool {
	switch want := want.(type) {
	case proto.Message:
		return proto.Equal(got.(proto.Message), want)
	case int:
		return len(got.([]*wire.JobRecord)) == want
	}
	return got == nil
}

func countQueued(m *Machine) int {
	n := 0
	for _, r := range m.jobs {
		if r.state == queued {
			n++
		}
	}
	return n
}

// TestClaim assigns the job of a dead owner to another owner, and checks that
// late notes of the first owner are refused.
func TestClaim(t *testing.T) {
	is := is.New(t)
	m := NewMachine(DefaultLimits())
	members := allMembers()
	m.Apply(keepCommand(one, "a", "x"), members)
	m.Apply(noteCommand(one, 1, running, &wire.TaskRecord{Task: "a.0.0.1", Attempt: 3, Checkpoint: "half"}), members)
	delete(members, ownerOf(one))
	m.Apply(noteCommand(one, 1, 0, &wire.TaskRecord{Task: "a.0.0.0", Done: true, Attempt: 1}), members)
	claimed := m.Apply(claimCommand(two, "a", 1), members).([]*wire.JobRecord)
	is.Equal(len(claimed), 1)
	is.True(proto.Equal(claimed[0], &wire.JobRecord{
		Job: job("a", "x"), State: running, Owner: two, Epoch: 2,
		Tasks: []*wire.TaskRecord{{Task: "a.0.0.0", Done: true, Attempt: 1}, {Task: "a.0.0.1", Attempt: 3, Checkpoint: "half"}},
	}))
	late := m.Apply(noteCommand(one, 1, completed), members).(*wire.NoteReply)
	is.Equal(late.GetResults()[0].GetReason(), ReasonNotOwner)
	is.Equal(len(m.Apply(claimCommand(two, "a", 1), members).([]*wire.JobRecord)), 0)
	is.Equal(m.Apply(noteCommand(two, 2, completed), members).(*wire.NoteReply).GetResults()[0].GetState(), completed)
}

// TestMergeTasks checks that merging two updates gives the same result in
// either order.
func TestMergeTasks(t *testing.T) {
	for _, test := range []struct{ old, update, want task }{
		{task{attempt: 1, failed: 1}, task{attempt: 2}, task{attempt: 2, failed: 1}},
		{task{attempt: 1, checkpoint: "a"}, task{attempt: 2, checkpoint: "b"}, task{attempt: 2, checkpoint: "b"}},
		{task{attempt: 2, checkpoint: "a"}, task{attempt: 3}, task{attempt: 3, checkpoint: "a"}},
		{task{attempt: 1, checkpoint: "a"}, task{attempt: 1, done: true}, task{attempt: 1, done: true}},
	} {
		t.Run(fmt.Sprint(test.want), func(t *testing.T) {
			is := is.New(t)
			is.Equal(mergeTasks([]task{test.old}, []task{test.update}), []task{test.want})
			is.Equal(mergeTasks([]task{test.update}, []task{test.old}), []task{test.want})
			is.Equal(mergeTasks(nil, []task{test.old, test.update}), []task{test.want})
		})
	}
}

// TestReconcile checks that the reply to an owner lists its lost and cancelled
// jobs, and the jobs whose assignment it never received.
func TestReconcile(t *testing.T) {
	is := is.New(t)
	m := NewMachine(DefaultLimits())
	for _, id := range []string{"given", "under way", "held", "cancelled"} {
		m.Apply(keepCommand(one, id, "x"), allMembers())
	}
	m.Apply(keepCommand(two, "another's", "x"), allMembers())
	m.Apply(cancelCommand("cancelled"), allMembers())
	reply := m.reconciliation(&wire.ClaimJobsRequest{Owner: one, Held: []*wire.HeldJob{
		{Id: "under way"}, {Id: "held", Epoch: 1}, {Id: "cancelled", Epoch: 1}, {Id: "another's", Epoch: 1}, {Id: "forgotten", Epoch: 1},
	}})
	is.Equal(reply.GetLost(), []string{"another's", "forgotten"})
	is.Equal(reply.GetCancelled(), []string{"cancelled"})
	is.Equal(len(reply.GetJobs()), 1)
	is.Equal(reply.GetJobs()[0].GetJob().GetId(), "given")
}
