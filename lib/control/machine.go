package control

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/store"
	"skylarklane.example/lib/wire"
)

const (
	// maxDeaths bounds the number of recorded dead incarnations.
	maxDeaths = 1024
	// maxChanges bounds the number of recorded configuration changes.
	maxChanges = 8192
	// maxRetainedContents bounds the number of changes that are recorded with
	// their content.
	maxRetainedContents = 128
	// maxRetainedContentBytes bounds the total size of the retained contents.
	maxRetainedContentBytes = 4 << 20
)

// machine is the replicated state machine of the control group. It changes
// only by applying commands, and the same commands produce the same state on
// every host.
type machine struct {
	state *wire.ControlState
	// activeConfig is the decoded content of the newest change.
	activeConfig *wire.Configuration
	// packed is the configuration that was packed last.
	packed packedConfig
	// published is the newest change, for other goroutines.
	published atomic.Pointer[publishedChange]
	// jobs holds the durable jobs.
	jobs *store.Machine
}

func newMachine() *machine {
	m := &machine{state: &wire.ControlState{}, activeConfig: &wire.Configuration{}, jobs: store.NewMachine(store.DefaultLimits())}
	m.setPublished()
	return m
}

// Apply implements quorum.Machine.
func (m *machine) Apply(index uint64, b []byte) any {
	command := &wire.Command{}
	if err := proto.Unmarshal(b, command); err != nil {
		panic(err) // log records are checksummed, so this one was written by a newer version
	}
	switch c := command.GetCommand().(type) {
	case *wire.Command_Store:
		return m.jobs.Apply(c.Store, m)
	case *wire.Command_Evacuation:
		return m.setEvacuation(index, command.GetAtMillis(), c.Evacuation)
	}
	return m.apply(index, command)
}

// Snapshot implements quorum.Machine.
func (m *machine) Snapshot() []byte {
	m.state.Store = m.jobs.Snapshot()
	b := encode(m.state)
	m.state.Store = nil
	return b
}

// Restore implements quorum.Machine.
func (m *machine) Restore(b []byte) error {
	state := &wire.ControlState{}
	if err := proto.Unmarshal(b, state); err != nil {
		return &Error{Op: "restore", Kind: KindState, Err: eris.Wrap(err, "the snapshot cannot be read")}
	}
	activeConfig := &wire.Configuration{}
	if n := len(state.GetChanges()); n > 0 {
		var err error
		if activeConfig, err = decodeConfiguration(state.Changes[n-1].GetContent()); err != nil {
			return err
		}
	}
	if err := m.jobs.Restore(state.GetStore()); err != nil {
		return err
	}
	state.Store = nil
	m.state = state
	m.activeConfig = activeConfig
	m.setPublished()
	// Snapshots of releases without evacuations have no data centres.
	for _, member := range state.GetMembers() {
		m.addDataCentre(member.GetDataCentre())
	}
	return nil
}

// apply executes the command at a log index. It returns the reply to a publish
// command, and nil for other commands.
func (m *machine) apply(index uint64, command *wire.Command) *wire.PublishReply {
	at := command.GetAtMillis()
	switch c := command.GetCommand().(type) {
	case *wire.Command_Join:
		m.join(index, at, c.Join.GetMember())
	case *wire.Command_Declare:
		m.declareDead(index, at, c.Declare.GetDead())
	case *wire.Command_Move:
		m.setViews(index, c.Move.GetViews())
	case *wire.Command_Publish:
		return m.publish(index, at, c.Publish)
	case *wire.Command_Limits:
		m.state.Version = index
		m.state.RetentionMillis = c.Limits.GetRetentionMillis()
	}
	return nil
}

// member returns the member with an incarnation, nil if there is none.
func (m *machine) member(inc *wire.Incarnation) *wire.Member {
	for _, member := range m.state.GetMembers() {
		if wire.Same(member.GetIncarnation(), inc) {
			return member
		}
	}
	return nil
}

// isDead reports whether an incarnation is recorded as dead.
func (m *machine) isDead(inc *wire.Incarnation) bool {
	return slices.ContainsFunc(m.state.GetDeaths(), func(d *wire.Death) bool { return wire.Same(d.GetIncarnation(), inc) })
}

// changesRole reports whether a member is known with another role. An
// incarnation is one process and keeps its role; views name agents only.
func (m *machine) changesRole(member *wire.Member) bool {
	known := m.member(member.GetIncarnation())
	return known != nil && known.GetRole() != member.GetRole()
}

func (m *machine) join(index uint64, at int64, member *wire.Member) {
	inc := member.GetIncarnation()
	if m.isDead(inc) || m.changesRole(member) {
		return
	}
	member = proto.CloneOf(member)
	member.Version = index
	m.state.Version = index
	m.addDataCentre(member.GetDataCentre())
	var older []*wire.Incarnation
	members := slices.DeleteFunc(m.state.GetMembers(), func(old *wire.Member) bool {
		if old.GetIncarnation().GetId() != inc.GetId() {
			return false
		}
		if !wire.Same(old.GetIncarnation(), inc) {
			older = append(older, old.GetIncarnation())
		}
		return true
	})
	m.state.Members = append(members, member)
	slices.SortFunc(m.state.Members, func(a, b *wire.Member) int {
		return strings.Compare(a.GetIncarnation().GetId(), b.GetIncarnation().GetId())
	})
	for _, inc := range older {
		m.recordDeath(index, at, inc, vacate)
	}
}

func (m *machine) declareDead(index uint64, at int64, dead []*wire.Incarnation) {
	for _, inc := range dead {
		if m.member(inc) == nil {
			continue
		}
		m.state.Version = index
		m.state.Members = slices.DeleteFunc(m.state.GetMembers(), func(member *wire.Member) bool {
			return wire.Same(member.GetIncarnation(), inc)
		})
		m.recordDeath(index, at, inc, m.reassignLostShard)
	}
}

// recordDeath records a dead incarnation and removes it from every view. lose
// returns the view of a shard that lost its last complete replica.
func (m *machine) recordDeath(index uint64, at int64, inc *wire.Incarnation, lose func(view *wire.View, at int64) *wire.View) {
	m.state.Deaths = append(m.state.Deaths, &wire.Death{Incarnation: inc, Version: index, AtMillis: at})
	if n := len(m.state.Deaths) - maxDeaths; n > 0 {
		m.state.Dropped = m.state.Deaths[n-1].GetVersion()
		m.state.Deaths = slices.Clone(m.state.Deaths[n:])
	}
	for shard, view := range m.state.GetViews() {
		if !viewContains(view, inc) {
			continue
		}
		next := withoutMember(view, inc)
		if next.Primary == nil {
			next = lose(next, at)
		}
		next.Version = index
		m.state.Views[shard] = next
	}
}

// reassignLostShard assigns a shard that lost its last complete replica to
// another agent. A member is declared dead only after its lease has expired, so
// the lost replica acknowledged no hold after LostAtMillis.
func (m *machine) reassignLostShard(view *wire.View, at int64) *wire.View {
	view.LostAtMillis = max(view.GetLostAtMillis(), at)
	view.Joining = nil
	view.Primary = newPlanner(m.state, nil).leastLoaded()
	return view
}

// vacate leaves a shard that lost its last complete replica without a primary.
// An incarnation that was replaced may still have a lease, so the leader assigns
// the shard once that has expired.
func vacate(view *wire.View, at int64) *wire.View {
	view.LostAtMillis = max(view.GetLostAtMillis(), at)
	view.Joining = nil
	return view
}

func (m *machine) setViews(index uint64, views []*wire.View) {
	for _, view := range views {
		if !m.isValidSuccessor(view) {
			continue
		}
		view = proto.CloneOf(view)
		view.Version = index
		m.state.Version = index
		if int(view.GetShard()) == len(m.state.GetViews()) {
			m.state.Views = append(m.state.Views, view)
			continue
		}
		m.state.Views[view.GetShard()] = view
	}
}

// isValidSuccessor reports whether view is the next epoch of its shard and all
// its members are alive.
func (m *machine) isValidSuccessor(view *wire.View) bool {
	for _, inc := range allMembers(view) {
		if m.member(inc) == nil {
			return false
		}
	}
	shard := int(view.GetShard())
	if shard == len(m.state.GetViews()) {
		return view.GetEpoch() == 1
	}
	return shard < len(m.state.GetViews()) && view.GetEpoch() == m.state.GetViews()[shard].GetEpoch()+1
}
