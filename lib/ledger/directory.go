package ledger

import (
	"context"
	"net/http"
	"sync"

	"skylarklane.example/lib/wire"
)

// Directory provides the directory and this process's lease state. It is
// implemented by membership.Follower.
type Directory interface {
	// Directory returns the newest directory, which is never modified in
	// place.
	Directory() *wire.Directory
	// Current reports whether this process's own lease is valid.
	Current() bool
	// Changed returns a channel that is closed at the next change of the
	// directory.
	Changed() <-chan struct{}
}

// Reporter sends the reports of a replica to the control group.
type Reporter interface {
	Report(ctx context.Context, q *wire.ReportRequest) error
}

// memberIndex looks up the members of a directory by incarnation. It is
// rebuilt for each version of the directory.
type memberIndex struct {
	client *http.Client

	mu        sync.Mutex
	directory *wire.Directory
	members   map[uint64]*wire.Member
	dead      map[uint64]bool
	ledgers   map[uint64]wire.Ledger
}

func newMemberIndex(client *http.Client) *memberIndex { return &memberIndex{client: client} }

// ledgerClient returns a client for a member's replica, nil if the incarnation
// is not a member.
func (m *memberIndex) ledgerClient(directory *wire.Directory, inc *wire.Incarnation) wire.Ledger {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(directory)
	member := m.members[inc.GetNumber()]
	if member == nil {
		return nil
	}
	known := m.ledgers[inc.GetNumber()]
	if known == nil {
		known = wire.NewLedgerProtobufClient("http://"+member.GetAddress(), m.client)
		m.ledgers[inc.GetNumber()] = known
	}
	return known
}

// isDead reports whether an incarnation was declared dead.
func (m *memberIndex) isDead(directory *wire.Directory, inc *wire.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(directory)
	return m.dead[inc.GetNumber()]
}

// member returns the member with an incarnation, nil if there is none.
func (m *memberIndex) member(directory *wire.Directory, inc *wire.Incarnation) *wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(directory)
	return m.members[inc.GetNumber()]
}

func (m *memberIndex) refresh(directory *wire.Directory) {
	if m.directory == directory {
		return
	}
	m.directory = directory
	m.members = map[uint64]*wire.Member{}
	m.dead = map[uint64]bool{}
	m.ledgers = map[uint64]wire.Ledger{}
	for _, member := range directory.GetMembers() {
		m.members[member.GetIncarnation().GetNumber()] = member
	}
	for _, inc := range directory.GetDead() {
		m.dead[inc.GetNumber()] = true
	}
}

// viewOf returns the view of a shard, nil if there is none.
func viewOf(directory *wire.Directory, shard uint32) *wire.View {
	if int(shard) >= len(directory.GetViews()) {
		return nil
	}
	return directory.GetViews()[shard]
}

// secondaries returns the members of a view other than its primary. Joining
// members must acknowledge writes too, so that their copies miss none.
func secondaries(view *wire.View) []*wire.Incarnation {
	return append(append([]*wire.Incarnation(nil), view.GetBackups()...), view.GetJoining()...)
}

func contains(list []*wire.Incarnation, inc *wire.Incarnation) bool {
	for _, one := range list {
		if wire.Same(one, inc) {
			return true
		}
	}
	return false
}
