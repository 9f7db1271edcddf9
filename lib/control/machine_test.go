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

// testState is the state of a control group of one host. Commands are applied to
// it without a log.
type testState struct {
	is *is.I
	*state
	now   time.Time
	index uint64
}

func newTestState(t *testing.T) *testState {
	s := &state{machine: newMachine(), leases: newLeases(time.Second)}
	return &testState{is: is.New(t), state: s, now: time.Now()}
}

func (g *testState) apply(command *wire.Command) {
	g.index++
	command.AtMillis = g.now.UnixMilli()
	g.machine.apply(g.index, command)
}

func newAgent(n int, number uint64) *wire.Member {
	return &wire.Member{
		Incarnation: &wire.Incarnation{Id: fmt.Sprintf("worker%02d", n), Number: number},
		Role:        wire.Role_ROLE_AGENT,
		Rack:        fmt.Sprint("rack", n/3),
		DataCentre:  fmt.Sprint("dc", n/3),
	}
}

func (g *testState) join(member *wire.Member) {
	g.apply(joinCommand(member))
	g.leases.recordRenewal(g.machine.state.GetMembers(), member.GetIncarnation(), 0, g.now)
}

// settle applies due commands and completes copies until there are none left.
func (g *testState) settle() {
	for range 10000 {
		dueCommands := g.dueCommands(&wire.Limits{}, testShards, g.now)
		for _, command := range dueCommands {
			before := epochs(g.machine.state)
			old := append([]*wire.View(nil), g.machine.state.GetViews()...)
			g.apply(command)
			g.checkSteps(old, before)
		}
		if !g.completeOneCopy() && len(dueCommands) == 0 {
			return
		}
	}
	g.is.Fail() // the views did not settle
}

func epochs(s *wire.ControlState) []uint64 {
	var found []uint64
	for _, view := range s.GetViews() {
		found = append(found, view.GetEpoch())
	}
	return found
}

// checkSteps requires that epochs never decrease and that each view shares a
// complete member with the previous one, unless the shard was lost in between.
func (g *testState) checkSteps(old []*wire.View, before []uint64) {
	g.is.Helper()
	for shard, view := range old {
		now := g.machine.state.GetViews()[shard]
		g.is.True(now.GetEpoch() >= before[shard]) // epochs never decrease
		shared := now.GetLostAtMillis() > view.GetLostAtMillis() || view.GetPrimary() == nil
		for _, inc := range completeMembers(now) {
			shared = shared || contains(completeMembers(view), inc)
		}
		g.is.True(shared) // a view keeps a complete member of the previous one
	}
}

func (g *testState) completeOneCopy() bool {
	for _, view := range g.machine.state.GetViews() {
		for _, inc := range view.GetJoining() {
			copied := &wire.ReportRequest{Reporter: inc, Report: &wire.ReportRequest_Copied{
				Copied: &wire.Copied{Shard: view.GetShard(), Epoch: view.GetEpoch()}}}
			g.apply(setViewsCommand([]*wire.View{g.report(copied, g.now)}))
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
			g := newTestState(t)
			for n := range test.agents {
				g.join(newAgent(n, 1))
				g.settle()
			}
			g.is.Equal(len(g.machine.state.GetViews()), testShards)
			p := newPlanner(g.machine.state, nil)
			for _, view := range g.machine.state.GetViews() {
				g.is.Equal(len(completeMembers(view)), test.size)
				g.is.Equal(len(view.GetJoining()), 0)
				g.is.Equal(view.GetLostAtMillis(), int64(0))
				if test.agents >= 7 {
					g.is.Equal(p.spread(completeMembers(view)), 3*(viewSize+2)+3) // three racks in three data centres
				}
			}
		})
	}
}

func TestDeathOfPrimary(t *testing.T) {
	g := newTestState(t)
	for n := range 4 {
		g.join(newAgent(n, 1))
	}
	g.settle()
	old := g.machine.state.GetViews()[0]
	g.leases.held[old.GetPrimary().GetId()].expiresAt = g.now
	g.settle()
	now := g.machine.state.GetViews()[0]
	g.is.True(g.machine.isDead(old.GetPrimary()))
	g.is.True(contains(old.GetBackups(), now.GetPrimary())) // a complete backup takes over
	g.is.Equal(len(completeMembers(now)), 3)                // and the fourth agent joins
	g.is.Equal(now.GetLostAtMillis(), int64(0))
}

// TestNewLeader checks that a new leader, which has not yet received any
// renewal, declares no member dead before a full lease has passed.
func TestNewLeader(t *testing.T) {
	g := newTestState(t)
	g.startTerm(1, g.now)
	g.join(newAgent(1, 1))
	g.join(newAgent(2, 1))
	g.settle()
	g.now = g.now.Add(time.Hour)
	g.startTerm(2, g.now)
	for range 3 {
		g.is.Equal(len(g.dueCommands(&wire.Limits{}, testShards, g.now)), 0)
		g.now = g.now.Add(400 * time.Millisecond)
		g.join(newAgent(2, 1)) // only one of them renews
	}
	g.is.Equal(g.dueCommands(&wire.Limits{}, testShards, g.now)[0].GetDeclare().GetDead()[0].GetId(), "worker01")
}

func TestNewIncarnationRetiresOld(t *testing.T) {
	g := newTestState(t)
	g.join(newAgent(1, 1))
	g.settle()
	g.join(newAgent(1, 2))
	g.is.True(g.machine.isDead(newAgent(1, 1).GetIncarnation()))
	g.wait(1100, newAgent(1, 2))
	g.settle()
	for _, view := range g.machine.state.GetViews() {
		g.is.True(wire.Same(view.GetPrimary(), newAgent(1, 2).GetIncarnation()))
		g.is.True(view.GetLostAtMillis() > 0) // the only replica is lost
		g.is.Equal(view.GetEpoch(), uint64(3))
	}
	g.join(newAgent(1, 1)) // the old process resumes
	g.is.True(g.machine.member(newAgent(1, 1).GetIncarnation()) == nil)
}

// TestRetiredIncarnationKeepsLease guards against a shard that is given to an
// agent while the former incarnation of its only replica, which was replaced and
// is cut off, still has a lease and grants keys.
func TestRetiredIncarnationKeepsLease(t *testing.T) {
	former, next, third, other := newAgent(1, 1), newAgent(1, 2), newAgent(1, 3), newAgent(2, 1)
	tests := []struct {
		name  string
		lease time.Duration
		// replace has other incarnations join after the former one renewed its lease
		// for the last time.
		replace func(g *testState)
		// during is what happens each 100 ms from then on.
		during func(g *testState, n int)
		// since is when the shard may be given away, from the last renewal of an
		// incarnation that was replaced.
		since time.Duration
	}{
		{"lease of 2 s", 2 * time.Second, func(g *testState) { g.join(next) }, nil, 2 * time.Second},
		{"lease of 6 s", 6 * time.Second, func(g *testState) { g.join(next) }, nil, 6 * time.Second},
		{"replaced twice", 2 * time.Second, func(g *testState) { g.join(next); g.join(third) }, nil, 2 * time.Second},
		{"replaced twice before a decision", 2 * time.Second,
			func(g *testState) { g.apply(joinCommand(next)); g.apply(joinCommand(third)) }, nil, 2 * time.Second},
		{"a change of leader", 2 * time.Second,
			func(g *testState) { g.join(next); g.startTerm(2, g.now) }, nil, 2 * time.Second},
		{"a change of leader a second later", 2 * time.Second,
			func(g *testState) { g.join(next); g.wait(1000, next); g.startTerm(2, g.now) }, nil, 3 * time.Second},
		{"another agent joins", 2 * time.Second, func(g *testState) { g.join(next); g.join(other) }, nil, 2 * time.Second},
		{"another agent restarts again and again", 2 * time.Second, func(g *testState) { g.join(next); g.join(other) },
			func(g *testState, n int) { g.join(newAgent(2, uint64(n+2))) }, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestState(t)
			g.leases = newLeases(test.lease)
			g.startTerm(1, g.now)
			g.join(former)
			g.settle()
			renewed := g.now
			test.replace(g)
			for n := 0; g.now.Sub(renewed) < test.since; n++ {
				if test.during != nil {
					test.during(g, n)
				}
				g.settle()
				for _, view := range g.machine.state.GetViews() {
					g.is.True(view.GetPrimary() == nil) // nobody grants keys beside the former incarnation
				}
				g.renewAll(100 * time.Millisecond)
			}
			lost := time.Now().UnixMilli() // settle decides by the clock of the machine
			g.settle()
			for _, view := range g.machine.state.GetViews() {
				g.is.True(view.GetPrimary() != nil)
				g.is.True(!wire.Same(view.GetPrimary(), former.GetIncarnation()))
				g.is.True(view.GetLostAtMillis() >= lost) // keys that the former one held are not held anew
			}
		})
	}
}

// renewAll lets some time pass and has all members renew their leases.
func (g *testState) renewAll(after time.Duration) {
	g.now = g.now.Add(after)
	for _, member := range g.machine.state.GetMembers() {
		g.leases.recordRenewal(g.machine.state.GetMembers(), member.GetIncarnation(), 0, g.now)
	}
}

// TestOddMembers guards against a renewal of another writer that ends the leader,
// and each leader after it, because a view names a member that is no agent.
func TestOddMembers(t *testing.T) {
	tests := []struct {
		name string
		odd  func(member *wire.Member)
	}{
		{"an agent becomes an entry", func(m *wire.Member) { m.Role = wire.Role_ROLE_ENTRY }},
		{"an agent gets an unknown role", func(m *wire.Member) { m.Role = 7 }},
		{"an agent gets no role", func(m *wire.Member) { m.Role = wire.Role_ROLE_UNSPECIFIED }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestState(t)
			for n := range 3 {
				g.join(newAgent(n, 1))
			}
			g.settle()
			before := proto.CloneOf(g.machine.state)
			odd := newAgent(1, 1)
			test.odd(odd)
			g.join(odd)
			g.settle()
			g.is.True(proto.Equal(g.machine.state, before))
			odd.Incarnation.Number = 2 // another incarnation may have another role
			g.join(odd)
			g.settle()
			g.is.Equal(len(completeMembers(g.machine.state.GetViews()[0])), 2)
		})
	}
}

func TestAllReplicasLost(t *testing.T) {
	g := newTestState(t)
	entry := &wire.Member{Incarnation: &wire.Incarnation{Id: "entry1", Number: 1}, Role: wire.Role_ROLE_ENTRY}
	g.join(entry)
	g.join(newAgent(1, 1))
	g.settle()
	g.now = g.now.Add(time.Minute)
	g.settle()
	g.is.True(!g.machine.isDead(newAgent(1, 1).GetIncarnation())) // no renewals: the leader may be isolated
	g.join(entry)
	g.settle()
	g.is.True(!g.machine.isDead(newAgent(1, 1).GetIncarnation())) // it gets a full lease to reconnect
	for range 3 {
		g.now = g.now.Add(400 * time.Millisecond)
		g.join(entry)
	}
	g.settle()
	g.is.True(g.machine.isDead(newAgent(1, 1).GetIncarnation()))
	view := g.machine.state.GetViews()[0]
	g.is.True(view.GetPrimary() == nil)
	g.is.True(view.GetLostAtMillis() > 0)
	g.join(newAgent(2, 1))
	g.settle()
	g.is.True(wire.Same(g.machine.state.GetViews()[0].GetPrimary(), newAgent(2, 1).GetIncarnation()))
}

func TestLeavingAgentIsReplaced(t *testing.T) {
	g := newTestState(t)
	for n := range 4 {
		g.join(newAgent(n, 1))
	}
	g.settle()
	leaving := newAgent(0, 1)
	leaving.Leaving = true
	g.join(leaving)
	g.settle()
	for _, view := range g.machine.state.GetViews() {
		g.is.True(!viewContains(view, leaving.GetIncarnation()))
		g.is.Equal(len(completeMembers(view)), 3)
		g.is.Equal(view.GetLostAtMillis(), int64(0))
	}
}

func TestUnresponsiveBackup(t *testing.T) {
	g := newTestState(t)
	g.join(newAgent(0, 1))
	g.join(newAgent(1, 1))
	g.settle()
	view := g.machine.state.GetViews()[0]
	silent := &wire.Silent{Shard: 0, Epoch: view.GetEpoch(), Member: view.GetBackups()[0]}
	q := &wire.ReportRequest{Reporter: view.GetBackups()[0], Report: &wire.ReportRequest_Silent{Silent: silent}}
	g.is.True(g.report(q, g.now) == nil) // only the primary may report it
	q.Reporter = view.GetPrimary()
	g.apply(setViewsCommand([]*wire.View{g.report(q, g.now)}))
	g.settle()
	g.is.Equal(len(completeMembers(g.machine.state.GetViews()[0])), 1) // it does not rejoin at once
	g.is.True(g.report(q, g.now) == nil)                               // the report's epoch is outdated
	g.now = g.now.Add(rejoinDelay)
	g.leases.grantAll(g.machine.state.GetMembers(), g.now)
	g.settle()
	g.is.Equal(len(completeMembers(g.machine.state.GetViews()[0])), 2)
}

func TestDelta(t *testing.T) {
	g := newTestState(t)
	g.join(newAgent(0, 1))
	g.settle()
	before := g.machine.directory(wire.Role_ROLE_ENTRY)
	g.join(newAgent(1, 1))
	delta := g.machine.delta(&wire.RenewRequest{DirectoryVersion: before.GetVersion()})
	g.is.Equal(len(delta.GetMembers()), 1) // the new member alone
	g.is.Equal(len(delta.GetViews()), 0)
	g.is.True(delta.GetConfiguration() == nil)
	g.is.True(g.machine.delta(&wire.RenewRequest{DirectoryVersion: delta.GetVersion() + 1}) == nil) // unknown version: the whole directory must be sent
}

// TestConfigurationOfDelta guards against renewals that carry a large configuration
// to members without a use for it, or uncompressed to each of the others (review/1).
func TestConfigurationOfDelta(t *testing.T) {
	g := newTestState(t)
	g.join(newAgent(0, 1))
	kind := &wire.Kind{Name: "fins"}
	for i := range 1400 {
		kind.Routes = append(kind.Routes, &wire.Route{Host: fmt.Sprintf("h%d.example", i%20), PathPrefix: fmt.Sprintf("/p%d/", i)})
	}
	g.machine.activeConfig = &wire.Configuration{Version: 7, Services: []*wire.Service{{Name: "sizing", Kinds: []*wire.Kind{kind}}}}
	whole := proto.Size(g.machine.activeConfig)
	tests := []struct {
		name    string
		role    wire.Role
		packed  bool
		maxSize int
		routes  int
	}{
		{"agent", wire.Role_ROLE_AGENT, true, 200, 0},
		{"entry", wire.Role_ROLE_ENTRY, true, whole / 3, 1400},
		{"entry of a former release", wire.Role_ROLE_ENTRY, false, whole + 200, 1400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			delta := g.machine.delta(&wire.RenewRequest{Member: &wire.Member{Role: test.role}, DirectoryVersion: 1, Packed: test.packed})
			is.True(proto.Size(delta) <= test.maxSize)
			c := delta.GetConfiguration()
			if c == nil {
				var err error
				c, err = wire.UnpackConfiguration(delta.GetPackedConfiguration())
				is.NoErr(err)
			}
			is.Equal(c.GetVersion(), uint64(7))
			routes := 0
			for _, s := range c.GetServices() {
				routes += len(s.GetKinds()[0].GetRoutes())
			}
			is.Equal(routes, test.routes)
		})
	}
}

func TestPublish(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	publish := func(id string, base uint64) *wire.PublishReply {
		return m.apply(m.state.GetVersion()+1, &wire.Command{Command: &wire.Command_Publish{
			Publish: &wire.PublishRequest{ChangeId: id, BaseVersion: base, Author: id}}})
	}
	is.True(publish("a", 0).GetAccepted())
	outdated := publish("b", 0)
	is.True(!outdated.GetAccepted())
	is.Equal(outdated.GetWinner(), "a")
	is.Equal(publish("a", 0).GetVersion(), uint64(1)) // a retry gets the original reply
	reused := publish("a", 1)
	is.True(!reused.GetAccepted()) // the id was used for another change
	is.Equal(reused.GetReason(), reasonChangeIDReused)
	is.True(publish("c", 1).GetAccepted())
	is.Equal(publish("a", 0).GetVersion(), uint64(1))
	for n := range maxRetainedContents {
		is.True(publish(fmt.Sprint("n", n), m.latestChange().GetVersion()).GetAccepted())
	}
	oldest, err := decodeChanges(m.changesSince(1, 1))
	is.NoErr(err)
	is.True(oldest[0].GetDropped())
	is.Equal(publish("a", 0).GetVersion(), uint64(1)) // the change's id is still known
	restored := newMachine()
	is.NoErr(restored.Restore(m.Snapshot()))
	is.Equal(restored.Snapshot(), m.Snapshot())
	is.True(proto.Equal(restored.activeConfig, m.activeConfig))
}

// TestDecisionBeforeFirstRenewal guards against a new member that is declared
// dead because a decision falls between its join and its first renewal.
func TestDecisionBeforeFirstRenewal(t *testing.T) {
	fresh, other := newAgent(1, 2), newAgent(2, 1)
	tests := []struct {
		name string
		// before is what happens before the join is applied, after what happens
		// between the join and the decision.
		before, after func(g *testState)
	}{
		{"a new id", func(*testState) {}, func(*testState) {}},
		{"a new incarnation beside the lease of the former one",
			func(g *testState) { g.join(newAgent(1, 1)) }, func(*testState) {}},
		{"a new incarnation after the lease of the former one has expired",
			func(g *testState) { g.join(newAgent(1, 1)); g.wait(1100, other) }, func(*testState) {}},
		{"a change of leader", func(*testState) {}, func(g *testState) { g.startTerm(2, g.now) }},
		{"a change of its registration", func(*testState) {},
			func(g *testState) {
				g.apply(joinCommand(&wire.Member{Incarnation: fresh.Incarnation, Role: fresh.Role, Leaving: true}))
			}},
		{"an end of isolation", func(*testState) {},
			func(g *testState) { g.now = g.now.Add(700 * time.Millisecond); g.join(other) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestState(t)
			g.startTerm(1, g.now)
			g.join(other)
			test.before(g)
			g.apply(joinCommand(fresh))
			test.after(g)
			g.is.Equal(g.dueDeaths(), nil)
			g.wait(900, other)
			g.is.Equal(g.dueDeaths(), nil) // it has a full lease
			g.wait(200, other)
			g.is.Equal(g.dueDeaths(), []string{"worker01"}) // but no more than one
		})
	}
}

// wait lets the given number of milliseconds pass, while one member renews its
// lease and the leader decides what is due.
func (g *testState) wait(millis int, member *wire.Member) {
	for range millis / 100 {
		g.now = g.now.Add(100 * time.Millisecond)
		g.leases.recordRenewal(g.machine.state.GetMembers(), member.GetIncarnation(), 0, g.now)
		g.dueDeaths()
	}
}

// dueDeaths returns the ids of the members that the leader would declare dead
// now.
func (g *testState) dueDeaths() []string {
	var ids []string
	for _, command := range g.dueCommands(&wire.Limits{}, testShards, g.now) {
		for _, inc := range command.GetDeclare().GetDead() {
			ids = append(ids, inc.GetId())
		}
	}
	return ids
}

// TestNoLeaseAfterDeathIsDecided guards against a member that holds a lease after
// it was declared dead: its renewal arrives once its death is decided, but not
// yet committed.
func TestNoLeaseAfterDeathIsDecided(t *testing.T) {
	late, other := newAgent(1, 1), newAgent(2, 1)
	q := &wire.RenewRequest{Member: late}
	tests := []struct {
		name string
		// then is what happens between the decision and the renewal.
		then    func(g *testState)
		granted bool
	}{
		{"not yet committed", func(*testState) {}, false},
		{"not committed for a while", func(g *testState) { g.wait(2000, other) }, false},
		{"isolated before it is committed", func(g *testState) {
			g.now = g.now.Add(2 * time.Second)
			g.wait(100, other)
		}, false},
		{"lost with the leader", func(g *testState) { g.startTerm(2, g.now) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newTestState(t)
			g.startTerm(1, g.now)
			g.join(late)
			g.join(other)
			g.settle()
			g.wait(1000, other)
			decided := g.dueCommands(&wire.Limits{}, testShards, g.now)
			g.is.Equal(decided[0].GetDeclare().GetDead()[0].GetId(), "worker01")
			test.then(g)
			g.is.Equal(g.renew(q, g.now).GetLeaseMillis() > 0, test.granted)
			g.is.Equal(len(g.dueDeaths()) > 0, !test.granted) // what was decided is proposed until it is committed
		})
	}
}

// TestRenewalWithChange guards against a member that renews its lease in time and
// is declared dead while the change that it announces is being committed.
func TestRenewalWithChange(t *testing.T) {
	g := newTestState(t)
	other := newAgent(2, 1)
	g.startTerm(1, g.now)
	g.join(newAgent(1, 1))
	g.join(other)
	g.settle()
	g.wait(900, other)
	leaving := newAgent(1, 1)
	leaving.Leaving = true
	g.is.True(g.renew(&wire.RenewRequest{Member: leaving}, g.now) == nil) // the change must be committed first
	g.wait(200, other)
	g.is.Equal(g.dueDeaths(), nil)
}
