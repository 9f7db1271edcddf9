package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const testShards = 16

// group is a control group of one, without a log.
type group struct {
	is *is.I
	*state
	now   time.Time
	index uint64
}

func newGroup(t *testing.T) *group {
	s := &state{machine: newMachine(), leases: newLeases(time.Second)}
	return &group{is: is.New(t), state: s, now: time.Now()}
}

func (g *group) apply(command *wire.Command) {
	g.index++
	command.AtMillis = g.now.UnixMilli()
	g.machine.apply(g.index, command)
}

func agent(n int, life uint64) *wire.Member {
	return &wire.Member{
		Incarnation: &wire.Incarnation{Id: fmt.Sprintf("worker%02d", n), Number: life},
		Role:        wire.Role_ROLE_AGENT,
		Rack:        fmt.Sprint("rack", n/3),
		DataCentre:  fmt.Sprint("dc", n/3),
	}
}

func (g *group) join(member *wire.Member) {
	g.apply(joinCommand(member))
	g.leases.hear(g.machine.state.GetMembers(), member.GetIncarnation(), 0, g.now)
}

// settle carries decisions out until there are none; joining members copy.
func (g *group) settle() {
	for range 10000 {
		decisions := g.decisions(&wire.Limits{}, testShards, g.now)
		for _, command := range decisions {
			before := epochs(g.machine.state)
			old := append([]*wire.View(nil), g.machine.state.GetViews()...)
			g.apply(command)
			g.checkSteps(old, before)
		}
		if !g.copyOne() && len(decisions) == 0 {
			return
		}
	}
	g.is.Fail() // the plan does not come to rest
}

func epochs(s *wire.ControlState) []uint64 {
	var found []uint64
	for _, view := range s.GetViews() {
		found = append(found, view.GetEpoch())
	}
	return found
}

// checkSteps requires that epochs grow and that complete members are shared
// unless the shard was lost.
func (g *group) checkSteps(old []*wire.View, before []uint64) {
	g.is.Helper()
	for shard, view := range old {
		now := g.machine.state.GetViews()[shard]
		g.is.True(now.GetEpoch() >= before[shard]) // epochs never fall
		shared := now.GetLostAtMillis() > view.GetLostAtMillis() || view.GetPrimary() == nil
		for _, who := range complete(now) {
			shared = shared || has(complete(view), who)
		}
		g.is.True(shared) // a view keeps a complete member of the one before
	}
}

func (g *group) copyOne() bool {
	for _, view := range g.machine.state.GetViews() {
		for _, who := range view.GetJoining() {
			copied := &wire.ReportRequest{Reporter: who, Report: &wire.ReportRequest_Copied{
				Copied: &wire.Copied{Shard: view.GetShard(), Epoch: view.GetEpoch()}}}
			g.apply(moveCommand([]*wire.View{g.report(copied, g.now)}))
			return true
		}
	}
	return false
}

func TestViewsSettle(t *testing.T) {
	for _, test := range []struct {
		agents int
		size   int
	}{{1, 1}, {2, 2}, {3, 3}, {7, 3}, {11, 3}} {
		t.Run(fmt.Sprint(test.agents), func(t *testing.T) {
			g := newGroup(t)
			for n := range test.agents {
				g.join(agent(n, 1))
				g.settle()
			}
			g.is.Equal(len(g.machine.state.GetViews()), testShards)
			p := newPlan(g.machine.state, nil)
			for _, view := range g.machine.state.GetViews() {
				g.is.Equal(len(complete(view)), test.size)
				g.is.Equal(len(view.GetJoining()), 0)
				g.is.Equal(view.GetLostAtMillis(), int64(0))
				if test.agents >= 7 {
					g.is.Equal(p.spread(complete(view)), 3*(viewSize+2)+3) // three racks in three data centres
				}
			}
		})
	}
}

func TestDeathOfPrimary(t *testing.T) {
	g := newGroup(t)
	for n := range 4 {
		g.join(agent(n, 1))
	}
	g.settle()
	old := g.machine.state.GetViews()[0]
	g.leases.held[old.GetPrimary().GetId()].until = g.now
	g.settle()
	now := g.machine.state.GetViews()[0]
	g.is.True(g.machine.isDead(old.GetPrimary()))
	g.is.True(has(old.GetBackups(), now.GetPrimary())) // a complete backup takes over
	g.is.Equal(len(complete(now)), 3)                  // and the fourth agent joins
	g.is.Equal(now.GetLostAtMillis(), int64(0))
}

// TestNewLeader requires that a new leader, which has heard from nobody yet,
// declares nobody dead before a full lease is over.
func TestNewLeader(t *testing.T) {
	g := newGroup(t)
	g.lead(1, g.now)
	g.join(agent(1, 1))
	g.join(agent(2, 1))
	g.settle()
	g.now = g.now.Add(time.Hour)
	g.lead(2, g.now)
	for range 3 {
		g.is.Equal(len(g.decisions(&wire.Limits{}, testShards, g.now)), 0)
		g.now = g.now.Add(400 * time.Millisecond)
		g.join(agent(2, 1)) // one of them is heard, the other is not
	}
	g.is.Equal(g.decisions(&wire.Limits{}, testShards, g.now)[0].GetDeclare().GetDead()[0].GetId(), "worker01")
}

func TestNewIncarnationRetiresOld(t *testing.T) {
	g := newGroup(t)
	g.join(agent(1, 1))
	g.settle()
	g.join(agent(1, 2))
	g.is.True(g.machine.isDead(agent(1, 1).GetIncarnation()))
	for _, view := range g.machine.state.GetViews() {
		g.is.True(wire.Same(view.GetPrimary(), agent(1, 2).GetIncarnation()))
		g.is.True(view.GetLostAtMillis() > 0) // the only copy is gone
		g.is.Equal(view.GetEpoch(), uint64(2))
	}
	g.join(agent(1, 1)) // the old process wakes
	g.is.True(g.machine.member(agent(1, 1).GetIncarnation()) == nil)
}

func TestAllLost(t *testing.T) {
	g := newGroup(t)
	entry := &wire.Member{Incarnation: &wire.Incarnation{Id: "entry1", Number: 1}, Role: wire.Role_ROLE_ENTRY}
	g.join(entry)
	g.join(agent(1, 1))
	g.settle()
	g.now = g.now.Add(time.Minute)
	g.settle()
	g.is.True(!g.machine.isDead(agent(1, 1).GetIncarnation())) // nobody is heard: the leader may be cut off
	g.join(entry)
	g.settle()
	g.is.True(!g.machine.isDead(agent(1, 1).GetIncarnation())) // it has a lease to come back
	for range 3 {
		g.now = g.now.Add(400 * time.Millisecond)
		g.join(entry)
	}
	g.settle()
	g.is.True(g.machine.isDead(agent(1, 1).GetIncarnation()))
	view := g.machine.state.GetViews()[0]
	g.is.True(view.GetPrimary() == nil)
	g.is.True(view.GetLostAtMillis() > 0)
	g.join(agent(2, 1))
	g.settle()
	g.is.True(wire.Same(g.machine.state.GetViews()[0].GetPrimary(), agent(2, 1).GetIncarnation()))
}

func TestLeavingHandsOver(t *testing.T) {
	g := newGroup(t)
	for n := range 4 {
		g.join(agent(n, 1))
	}
	g.settle()
	leaver := agent(0, 1)
	leaver.Leaving = true
	g.join(leaver)
	g.settle()
	for _, view := range g.machine.state.GetViews() {
		g.is.True(!contains(view, leaver.GetIncarnation()))
		g.is.Equal(len(complete(view)), 3)
		g.is.Equal(view.GetLostAtMillis(), int64(0))
	}
}

func TestSilentBackup(t *testing.T) {
	g := newGroup(t)
	g.join(agent(0, 1))
	g.join(agent(1, 1))
	g.settle()
	view := g.machine.state.GetViews()[0]
	silent := &wire.Silent{Shard: 0, Epoch: view.GetEpoch(), Member: view.GetBackups()[0]}
	q := &wire.ReportRequest{Reporter: view.GetBackups()[0], Report: &wire.ReportRequest_Silent{Silent: silent}}
	g.is.True(g.report(q, g.now) == nil) // only the primary may say so
	q.Reporter = view.GetPrimary()
	g.apply(moveCommand([]*wire.View{g.report(q, g.now)}))
	g.settle()
	g.is.Equal(len(complete(g.machine.state.GetViews()[0])), 1) // it does not rejoin at once
	g.is.True(g.report(q, g.now) == nil)                        // the epoch has passed
	g.now = g.now.Add(silenceTime)
	g.leases.grantAll(g.machine.state.GetMembers(), g.now)
	g.settle()
	g.is.Equal(len(complete(g.machine.state.GetViews()[0])), 2)
}

func TestDelta(t *testing.T) {
	g := newGroup(t)
	g.join(agent(0, 1))
	g.settle()
	before := g.machine.directory()
	g.join(agent(1, 1))
	delta := g.machine.delta(before.GetVersion(), 0)
	g.is.Equal(len(delta.GetMembers()), 1) // the new member alone
	g.is.Equal(len(delta.GetViews()), 0)
	g.is.True(delta.GetConfiguration() == nil)
	g.is.True(g.machine.delta(delta.GetVersion()+1, 0) == nil) // from another group: whole
}

func TestPublish(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	publish := func(id string, base uint64) *wire.PublishReply {
		return m.apply(m.state.GetVersion()+1, &wire.Command{Command: &wire.Command_Publish{
			Publish: &wire.PublishRequest{ChangeId: id, BaseVersion: base, Author: id}}})
	}
	is.True(publish("a", 0).GetAccepted())
	lost := publish("b", 0)
	is.True(!lost.GetAccepted())
	is.Equal(lost.GetWinner(), "a")
	is.Equal(publish("a", 0).GetVersion(), uint64(1)) // the same answer again
	reused := publish("a", 1)
	is.True(!reused.GetAccepted()) // the same id for another change
	is.Equal(reused.GetReason(), reasonChangeIDReused)
	is.True(publish("c", 1).GetAccepted())
	is.Equal(publish("a", 0).GetVersion(), uint64(1))
	for n := range maxContents {
		is.True(publish(fmt.Sprint("n", n), m.latest().GetVersion()).GetAccepted())
	}
	oldest, err := reveal(m.since(1, 1))
	is.NoErr(err)
	is.True(oldest[0].GetDropped())
	is.Equal(publish("a", 0).GetVersion(), uint64(1)) // still known by its id
	again := newMachine()
	is.NoErr(again.Restore(m.Snapshot()))
	is.Equal(again.Snapshot(), m.Snapshot())
	is.True(proto.Equal(again.inForce, m.inForce))
}
