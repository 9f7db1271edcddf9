package control

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/store"
	"skylarklane.example/lib/wire"
)

const (
	// maxDeaths bounds how many dead incarnations are kept by name.
	maxDeaths = 1024
	// maxChanges bounds how many changes of the configuration are known by id.
	maxChanges = 8192
	// maxContents bounds how many changes are kept with their content.
	maxContents = 128
	// maxContentBytes bounds what these take together.
	maxContentBytes = 4 << 20
)

// machine is the state that the control group agrees upon. It changes by
// commands alone, and the same commands make the same state on every host.
type machine struct {
	state *wire.ControlState
	// inForce is the newest change's content, decoded.
	inForce *wire.Configuration
	// jobs are those that are kept.
	jobs *store.Machine
}

func newMachine() *machine {
	return &machine{state: &wire.ControlState{}, inForce: &wire.Configuration{}, jobs: store.NewMachine(store.DefaultLimits())}
}

// Apply implements quorum.Machine.
func (m *machine) Apply(index uint64, b []byte) any {
	command := &wire.Command{}
	if err := proto.Unmarshal(b, command); err != nil {
		panic(err) // the log checks its records; this one was written by a newer version
	}
	if c, ok := command.GetCommand().(*wire.Command_Store); ok {
		return m.jobs.Apply(c.Store, m)
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
	inForce := &wire.Configuration{}
	if n := len(state.GetChanges()); n > 0 {
		var err error
		if inForce, err = decode(state.Changes[n-1].GetContent()); err != nil {
			return err
		}
	}
	if err := m.jobs.Restore(state.GetStore()); err != nil {
		return err
	}
	state.Store = nil
	m.state = state
	m.inForce = inForce
	return nil
}

// apply carries out the command at a log index. It returns the answer to a
// publish, nil otherwise.
func (m *machine) apply(index uint64, command *wire.Command) *wire.PublishReply {
	at := command.GetAtMillis()
	switch c := command.GetCommand().(type) {
	case *wire.Command_Join:
		m.join(index, at, c.Join.GetMember())
	case *wire.Command_Declare:
		m.declare(index, at, c.Declare.GetDead())
	case *wire.Command_Move:
		m.move(index, c.Move.GetViews())
	case *wire.Command_Publish:
		return m.publish(index, at, c.Publish)
	case *wire.Command_Limits:
		m.state.Version = index
		m.state.RetentionMillis = c.Limits.GetRetentionMillis()
	}
	return nil
}

// member returns the member of an incarnation, nil where it is none.
func (m *machine) member(who *wire.Incarnation) *wire.Member {
	for _, member := range m.state.GetMembers() {
		if wire.Same(member.GetIncarnation(), who) {
			return member
		}
	}
	return nil
}

// isDead tells whether an incarnation is known to be dead.
func (m *machine) isDead(who *wire.Incarnation) bool {
	return slices.ContainsFunc(m.state.GetDeaths(), func(d *wire.Death) bool { return wire.Same(d.GetIncarnation(), who) })
}

func (m *machine) join(index uint64, at int64, member *wire.Member) {
	who := member.GetIncarnation()
	if m.isDead(who) {
		return
	}
	member = proto.CloneOf(member)
	member.Version = index
	m.state.Version = index
	var older []*wire.Incarnation
	members := slices.DeleteFunc(m.state.GetMembers(), func(old *wire.Member) bool {
		if old.GetIncarnation().GetId() != who.GetId() {
			return false
		}
		if !wire.Same(old.GetIncarnation(), who) {
			older = append(older, old.GetIncarnation())
		}
		return true
	})
	m.state.Members = append(members, member)
	slices.SortFunc(m.state.Members, func(a, b *wire.Member) int {
		return strings.Compare(a.GetIncarnation().GetId(), b.GetIncarnation().GetId())
	})
	for _, who := range older {
		m.bury(index, at, who)
	}
}

func (m *machine) declare(index uint64, at int64, dead []*wire.Incarnation) {
	for _, who := range dead {
		if m.member(who) == nil {
			continue
		}
		m.state.Version = index
		m.state.Members = slices.DeleteFunc(m.state.GetMembers(), func(member *wire.Member) bool {
			return wire.Same(member.GetIncarnation(), who)
		})
		m.bury(index, at, who)
	}
}

// bury records a death and takes the incarnation out of every view.
func (m *machine) bury(index uint64, at int64, who *wire.Incarnation) {
	m.state.Deaths = append(m.state.Deaths, &wire.Death{Incarnation: who, Version: index, AtMillis: at})
	if n := len(m.state.Deaths) - maxDeaths; n > 0 {
		m.state.Dropped = m.state.Deaths[n-1].GetVersion()
		m.state.Deaths = slices.Clone(m.state.Deaths[n:])
	}
	for shard, view := range m.state.GetViews() {
		if !contains(view, who) {
			continue
		}
		next := without(view, who)
		if next.Primary == nil {
			next = m.restart(next, at)
		}
		next.Version = index
		m.state.Views[shard] = next
	}
}

// restart gives a view that lost its last complete member to another agent.
// The declaration follows the end of the last member's lease, so no hold was
// acknowledged after it.
func (m *machine) restart(view *wire.View, at int64) *wire.View {
	view.LostAtMillis = max(view.GetLostAtMillis(), at)
	view.Joining = nil
	view.Primary = newPlan(m.state, nil).leastLoaded()
	return view
}

func (m *machine) move(index uint64, views []*wire.View) {
	for _, view := range views {
		if !m.follows(view) {
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

// follows tells whether view is the next one of its shard and all its members
// are alive.
func (m *machine) follows(view *wire.View) bool {
	for _, who := range everyone(view) {
		if m.member(who) == nil {
			return false
		}
	}
	shard := int(view.GetShard())
	if shard == len(m.state.GetViews()) {
		return view.GetEpoch() == 1
	}
	return shard < len(m.state.GetViews()) && view.GetEpoch() == m.state.GetViews()[shard].GetEpoch()+1
}
