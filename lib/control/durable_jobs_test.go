package control

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/process"
	"skylarklane.example/lib/store"
	"skylarklane.example/lib/wire"
)

// testEntry is an entry that stores durable jobs in a test's control group.
type testEntry struct {
	g   *hostGroup
	inc *wire.Incarnation
	*store.Client
}

func (g *hostGroup) entry(id string, number uint64) *testEntry {
	client := store.NewClient(process.NewClient(), func() []string { return g.addresses })
	return &testEntry{g: g, inc: &wire.Incarnation{Id: id, Number: number}, Client: client}
}

// renewedAsMember renews the entry's lease and reports whether the entry is a
// member.
func (e *testEntry) renewedAsMember() bool { return !e.renewLease().GetDead() }

// renewLease renews the entry's lease, retrying until the leader answers.
func (e *testEntry) renewLease() *wire.RenewReply {
	member := &wire.Member{Incarnation: e.inc, Role: wire.Role_ROLE_ENTRY, Address: "127.0.0.1:1"}
	for range 100 {
		for _, address := range e.g.addresses {
			client := wire.NewControlProtobufClient("http://"+address, http.DefaultClient)
			ctx, cancel := context.WithTimeout(e.g.t.Context(), time.Second)
			reply, err := client.Renew(ctx, &wire.RenewRequest{Member: member, Forward: true})
			cancel()
			if err == nil && (reply.GetDead() || reply.GetLeaseMillis() > 0) {
				return reply
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.g.t.Fatal("no host renewed the lease within the time limit")
	return nil
}

// storeJob stores a durable job, retrying until it is stored.
func (e *testEntry) storeJob(id string) *wire.KeepReply {
	e.g.t.Helper()
	for range 20 {
		reply, err := e.Keep(e.g.t.Context(), &wire.KeepRequest{Owner: e.inc, Job: &wire.KeptJob{Id: id, Service: "sizing", Kind: "fins"}})
		if err == nil {
			return reply
		}
	}
	e.g.t.Fatal("the job could not be stored in 20 attempts")
	return nil
}

// TestDurableJobs stores durable jobs over loopback. It then replaces their
// owner by a later incarnation, stops the leader, and requires that the new
// incarnation can claim the job that was not cancelled.
func TestDurableJobs(t *testing.T) {
	is := is.New(t)
	g := newHostGroup(t, 3, 1)
	first := g.entry("first", 1)
	is.True(!first.renewLease().GetKeepsJobs())
	is.Equal(first.storeJob("a").GetEpoch(), uint64(1))
	is.True(first.storeJob("a").GetKnown())
	is.True(first.storeJob("b").GetStored())
	is.True(first.renewLease().GetKeepsJobs())
	count, err := first.CountJobs(t.Context(), &wire.CountJobsRequest{Service: "sizing", Kind: "fins"})
	is.NoErr(err)
	is.Equal(count.GetWaiting(), uint64(2))
	_, err = first.CancelKept(t.Context(), &wire.CancelKeptRequest{Id: "b"})
	is.NoErr(err)
	second := g.entry("first", 2)
	is.True(second.renewedAsMember())
	g.stopLeader()
	claimed := second.claim()
	is.Equal(claimed.GetJob().GetId(), "a")
	is.Equal(claimed.GetEpoch(), uint64(2))
	outdatedNote, err := first.Note(t.Context(), &wire.NoteRequest{Owner: first.inc, Notes: []*wire.JobNote{{Id: "a", Epoch: 1, State: wire.JobState_JOB_STATE_FAILED}}})
	is.NoErr(err)
	is.Equal(outdatedNote.GetResults()[0].GetReason(), store.ReasonNotOwner)
	_, err = second.Note(t.Context(), &wire.NoteRequest{Owner: second.inc, Notes: []*wire.JobNote{{Id: "a", Epoch: 2, State: wire.JobState_JOB_STATE_COMPLETED}}})
	is.NoErr(err)
	for id, want := range map[string]wire.JobState{"a": wire.JobState_JOB_STATE_COMPLETED, "b": wire.JobState_JOB_STATE_CANCELLED} {
		read, err := first.ReadJob(t.Context(), &wire.ReadJobRequest{Id: id})
		is.NoErr(err)
		is.Equal(read.GetState(), want)
	}
	is.Equal(first.storeJob("c").GetReason(), store.ReasonNotMember)
}

// claim waits until there is a job to claim, and claims it.
func (e *testEntry) claim() *wire.JobRecord {
	e.g.t.Helper()
	for range 500 {
		reply, err := e.ClaimJobs(e.g.t.Context(), &wire.ClaimJobsRequest{Owner: e.inc, Limit: 10})
		if err == nil && len(reply.GetJobs()) > 0 {
			e.g.is.Equal(len(reply.GetJobs()), 1)
			return reply.GetJobs()[0]
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.g.t.Fatal("no job could be claimed within the time limit")
	return nil
}

// stopLeader stops the host that is the leader.
func (g *hostGroup) stopLeader() {
	for range 500 {
		for _, h := range g.hosts {
			if h.control.readAsLeader(g.t.Context(), func(*state, time.Time) {}) == nil {
				h.stop()
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatal("no host became the leader within the time limit")
}
