package store

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// group is the members of a test.
type group map[owner]bool

// IsMember implements Members.
func (g group) IsMember(who *wire.Incarnation) bool { return g[ownerOf(who)] }

var (
	one     = &wire.Incarnation{Id: "one", Number: 1}
	two     = &wire.Incarnation{Id: "two", Number: 1}
	oneNext = &wire.Incarnation{Id: "one", Number: 2}
)

func everyone() group { return group{ownerOf(one): true, ownerOf(two): true} }

func job(id, spec string) *wire.KeptJob {
	return &wire.KeptJob{Id: id, Service: "sizing", Kind: "fins", Spec: []byte(spec), Steps: []*wire.KeptStep{{Count: 2}}}
}

func keep(who *wire.Incarnation, id, spec string) *wire.StoreCommand {
	return &wire.StoreCommand{Command: &wire.StoreCommand_Keep{Keep: &wire.KeepRequest{Owner: who, Job: job(id, spec)}}}
}

func note(who *wire.Incarnation, epoch uint64, state wire.JobState, tasks ...*wire.TaskRecord) *wire.StoreCommand {
	n := &wire.JobNote{Id: "a", Epoch: epoch, State: state, Tasks: tasks}
	return &wire.StoreCommand{AtMillis: 7, Command: &wire.StoreCommand_Note{Note: &wire.NoteRequest{Owner: who, Notes: []*wire.JobNote{n}}}}
}

func cancelled(id string) *wire.StoreCommand {
	return &wire.StoreCommand{AtMillis: 8, Command: &wire.StoreCommand_Cancel{Cancel: &wire.CancelKeptRequest{Id: id}}}
}

func claim(who *wire.Incarnation, id string, epoch uint64) *wire.StoreCommand {
	c := &wire.StoreClaim{Owner: who, Jobs: []*wire.HeldJob{{Id: id, Epoch: epoch}}}
	return &wire.StoreCommand{Command: &wire.StoreCommand_Claim{Claim: c}}
}

func forget(until uint64) *wire.StoreCommand {
	return &wire.StoreCommand{Command: &wire.StoreCommand_Forget{Forget: &wire.StoreForget{Until: until}}}
}

const (
	queued    = wire.JobState_JOB_STATE_QUEUED
	running   = wire.JobState_JOB_STATE_RUNNING
	completed = wire.JobState_JOB_STATE_COMPLETED
	failed    = wire.JobState_JOB_STATE_FAILED
	stopped   = wire.JobState_JOB_STATE_CANCELLED
)

// TestApply gives commands in order, and requires the answer to the last and
// what is then stored of job a.
func TestApply(t *testing.T) {
	stored := &wire.KeepReply{Stored: true, Epoch: 1}
	noted := func(state wire.JobState) *wire.NoteReply {
		return &wire.NoteReply{Results: []*wire.NoteResult{{Stored: true, State: state}}}
	}
	refused := func(reason string, state wire.JobState) *wire.NoteReply {
		return &wire.NoteReply{Results: []*wire.NoteResult{{Reason: reason, State: state}}}
	}
	gone := func(who *wire.Incarnation) group {
		g := everyone()
		delete(g, ownerOf(who))
		return g
	}
	kept := keep(one, "a", "x")
	for _, test := range []struct {
		name     string
		members  group
		commands []*wire.StoreCommand
		want     any
		state    wire.JobState
		owner    *wire.Incarnation
		epoch    uint64
	}{
		{"keep", everyone(), []*wire.StoreCommand{kept}, stored, queued, one, 1},
		{"keep again", everyone(), []*wire.StoreCommand{kept, kept}, &wire.KeepReply{Stored: true, Known: true, Epoch: 1}, queued, one, 1},
		{"keep elsewhere", everyone(), []*wire.StoreCommand{kept, keep(two, "a", "x")}, &wire.KeepReply{Stored: true, Known: true}, queued, one, 1},
		{"keep other content", everyone(), []*wire.StoreCommand{kept, keep(one, "a", "y")}, &wire.KeepReply{Known: true, Reason: ReasonOtherContent}, queued, one, 1},
		{"keep of the dead", gone(one), []*wire.StoreCommand{kept}, &wire.KeepReply{Reason: ReasonNotMember}, 0, nil, 0},
		{"keep without id", everyone(), []*wire.StoreCommand{keep(one, "", "x")}, &wire.KeepReply{Reason: ReasonBadJob}, 0, nil, 0},
		{"keep after the end", everyone(), []*wire.StoreCommand{kept, note(one, 1, completed), kept}, &wire.KeepReply{Stored: true, Known: true}, completed, one, 1},
		{"full of jobs", everyone(), []*wire.StoreCommand{kept, keep(one, "b", "x"), keep(one, "c", "x"), keep(one, "d", "x")}, &wire.KeepReply{Reason: ReasonFull}, queued, one, 1},
		{"full of bytes", everyone(), []*wire.StoreCommand{kept, keep(one, "b", string(make([]byte, 4000)))}, &wire.KeepReply{Reason: ReasonFull}, queued, one, 1},
		{"note", everyone(), []*wire.StoreCommand{kept, note(one, 1, running)}, noted(running), running, one, 1},
		{"note of an older state", everyone(), []*wire.StoreCommand{kept, note(one, 1, running), note(one, 1, queued)}, noted(running), running, one, 1},
		{"note by another", everyone(), []*wire.StoreCommand{kept, note(two, 1, completed)}, refused(ReasonNotOwner, queued), queued, one, 1},
		{"note by a later life", everyone(), []*wire.StoreCommand{kept, note(oneNext, 1, completed)}, refused(ReasonNotOwner, queued), queued, one, 1},
		{"note of nothing", everyone(), []*wire.StoreCommand{note(one, 1, running)}, refused(ReasonUnknownJob, 0), 0, nil, 0},
		{"end twice", everyone(), []*wire.StoreCommand{kept, note(one, 1, completed), note(one, 1, completed)}, noted(completed), completed, one, 1},
		{"failed after the end", everyone(), []*wire.StoreCommand{kept, note(one, 1, completed), note(one, 1, failed)}, noted(completed), completed, one, 1},
		{"cancel", everyone(), []*wire.StoreCommand{kept, cancelled("a")}, &wire.CancelKeptReply{Known: true, State: stopped, Owner: one}, stopped, one, 1},
		{"cancel after the end", everyone(), []*wire.StoreCommand{kept, note(one, 1, completed), cancelled("a")}, &wire.CancelKeptReply{Known: true, State: completed, Owner: one}, completed, one, 1},
		{"end after the cancel", everyone(), []*wire.StoreCommand{kept, cancelled("a"), note(one, 1, completed)}, noted(stopped), stopped, one, 1},
		{"cancel of nothing", everyone(), []*wire.StoreCommand{cancelled("a")}, &wire.CancelKeptReply{}, 0, nil, 0},
		{"claim of a member's", everyone(), []*wire.StoreCommand{kept, claim(two, "a", 1)}, 0, queued, one, 1},
		{"claim by the dead", gone(two), []*wire.StoreCommand{kept, claim(two, "a", 1)}, 0, queued, one, 1},
		{"claim by another epoch", everyone(), []*wire.StoreCommand{kept, claim(two, "a", 2)}, 0, queued, one, 1},
		{"forget what runs", everyone(), []*wire.StoreCommand{kept, forget(5)}, nil, queued, one, 1},
		{"forget what ended", everyone(), []*wire.StoreCommand{kept, cancelled("a"), forget(1)}, nil, 0, nil, 0},
		{"forget no more", everyone(), []*wire.StoreCommand{keep(one, "b", "x"), cancelled("b"), kept, cancelled("a"), forget(1)}, nil, stopped, one, 1},
		{"keep after it is forgotten", everyone(), []*wire.StoreCommand{kept, cancelled("a"), forget(1), kept}, stored, queued, one, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine(Limits{Jobs: 3, Bytes: 3000})
			var got any
			for _, command := range test.commands {
				got = m.Apply(command, test.members)
			}
			is.True(same(got, test.want))
			r := m.jobs["a"]
			is.Equal(r != nil, test.owner != nil)
			if r != nil {
				is.Equal(r.state, test.state)
				is.True(wire.Same(r.owner, test.owner))
				is.Equal(r.epoch, test.epoch)
			}
			is.Equal(m.waiting[queue{"sizing", "fins"}], uint64(queuedJobs(m)))
			restored := NewMachine(m.limits)
			is.NoErr(restored.Restore(m.Snapshot()))
			is.Equal(restored.Snapshot(), m.Snapshot())
			is.Equal(restored.bytes, m.bytes)
			is.Equal(restored.owned, m.owned)
		})
	}
}

// same compares answers; a number stands for that many claimed jobs.
func same(got, want any) bool {
	switch want := want.(type) {
	case proto.Message:
		return proto.Equal(got.(proto.Message), want)
	case int:
		return len(got.([]*wire.JobRecord)) == want
	}
	return got == nil
}

func queuedJobs(m *Machine) int {
	n := 0
	for _, r := range m.jobs {
		if r.state == queued {
			n++
		}
	}
	return n
}

// TestClaim follows a job from a dead owner to the next, with the notes of the
// first one late.
func TestClaim(t *testing.T) {
	is := is.New(t)
	m := NewMachine(DefaultLimits())
	members := everyone()
	m.Apply(keep(one, "a", "x"), members)
	m.Apply(note(one, 1, running, &wire.TaskRecord{Task: "a.0.0.1", Attempt: 3, Checkpoint: "half"}), members)
	delete(members, ownerOf(one))
	m.Apply(note(one, 1, 0, &wire.TaskRecord{Task: "a.0.0.0", Done: true, Attempt: 1}), members)
	claimed := m.Apply(claim(two, "a", 1), members).([]*wire.JobRecord)
	is.Equal(len(claimed), 1)
	is.True(proto.Equal(claimed[0], &wire.JobRecord{
		Job: job("a", "x"), State: running, Owner: two, Epoch: 2,
		Tasks: []*wire.TaskRecord{{Task: "a.0.0.0", Done: true, Attempt: 1}, {Task: "a.0.0.1", Attempt: 3, Checkpoint: "half"}},
	}))
	late := m.Apply(note(one, 1, completed), members).(*wire.NoteReply)
	is.Equal(late.GetResults()[0].GetReason(), ReasonNotOwner)
	is.Equal(len(m.Apply(claim(two, "a", 1), members).([]*wire.JobRecord)), 0)
	is.Equal(m.Apply(note(two, 2, completed), members).(*wire.NoteReply).GetResults()[0].GetState(), completed)
}

// TestMergeTasks merges notes in both orders: what only grows comes out alike.
func TestMergeTasks(t *testing.T) {
	for _, test := range []struct{ old, news, want task }{
		{task{attempt: 1, failed: 1}, task{attempt: 2}, task{attempt: 2, failed: 1}},
		{task{attempt: 1, checkpoint: "a"}, task{attempt: 2, checkpoint: "b"}, task{attempt: 2, checkpoint: "b"}},
		{task{attempt: 2, checkpoint: "a"}, task{attempt: 3}, task{attempt: 3, checkpoint: "a"}},
		{task{attempt: 1, checkpoint: "a"}, task{attempt: 1, done: true}, task{attempt: 1, done: true}},
	} {
		t.Run(fmt.Sprint(test.want), func(t *testing.T) {
			is := is.New(t)
			is.Equal(mergeTasks([]task{test.old}, []task{test.news}), []task{test.want})
			is.Equal(mergeTasks([]task{test.news}, []task{test.old}), []task{test.want})
			is.Equal(mergeTasks(nil, []task{test.old, test.news}), []task{test.want})
		})
	}
}

// TestReview tells owners what has become of jobs, and gives back those whose
// answers were lost.
func TestReview(t *testing.T) {
	is := is.New(t)
	m := NewMachine(DefaultLimits())
	for _, id := range []string{"given", "under way", "held", "cancelled"} {
		m.Apply(keep(one, id, "x"), everyone())
	}
	m.Apply(keep(two, "another's", "x"), everyone())
	m.Apply(cancelled("cancelled"), everyone())
	reply := m.review(&wire.ClaimJobsRequest{Owner: one, Held: []*wire.HeldJob{
		{Id: "under way"}, {Id: "held", Epoch: 1}, {Id: "cancelled", Epoch: 1}, {Id: "another's", Epoch: 1}, {Id: "forgotten", Epoch: 1},
	}})
	is.Equal(reply.GetLost(), []string{"another's", "forgotten"})
	is.Equal(reply.GetCancelled(), []string{"cancelled"})
	is.Equal(len(reply.GetJobs()), 1)
	is.Equal(reply.GetJobs()[0].GetJob().GetId(), "given")
}
