package ledger

import (
	"context"
	"net/http"
	"sync"

	"skylarklane.example/lib/wire"
)

// Directory is what this package needs to know of the system. A
// membership.Follower is one.
type Directory interface {
	// Directory returns the newest directory; it is never changed in place.
	Directory() *wire.Directory
	// Current tells whether this process's own lease stands.
	Current() bool
	// Changed returns a channel that is closed with the next change.
	Changed() <-chan struct{}
}

// Control takes the observations of a replica.
type Control interface {
	Report(ctx context.Context, q *wire.ReportRequest) error
}

// book finds the members of a directory by incarnation. It is built once for
// each version.
type book struct {
	client *http.Client

	mu        sync.Mutex
	directory *wire.Directory
	members   map[uint64]*wire.Member
	dead      map[uint64]bool
	ledgers   map[uint64]wire.Ledger
}

func newBook(client *http.Client) *book { return &book{client: client} }

// ledger returns the way to a member's replica, nil where it is no member.
func (b *book) ledger(directory *wire.Directory, who *wire.Incarnation) wire.Ledger {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.follow(directory)
	member := b.members[who.GetNumber()]
	if member == nil {
		return nil
	}
	known := b.ledgers[who.GetNumber()]
	if known == nil {
		known = wire.NewLedgerProtobufClient("http://"+member.GetAddress(), b.client)
		b.ledgers[who.GetNumber()] = known
	}
	return known
}

// isDead tells whether an incarnation was declared dead.
func (b *book) isDead(directory *wire.Directory, who *wire.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.follow(directory)
	return b.dead[who.GetNumber()]
}

// member returns the member of an incarnation, nil where there is none.
func (b *book) member(directory *wire.Directory, who *wire.Incarnation) *wire.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.follow(directory)
	return b.members[who.GetNumber()]
}

func (b *book) follow(directory *wire.Directory) {
	if b.directory == directory {
		return
	}
	b.directory = directory
	b.members = map[uint64]*wire.Member{}
	b.dead = map[uint64]bool{}
	b.ledgers = map[uint64]wire.Ledger{}
	for _, member := range directory.GetMembers() {
		b.members[member.GetIncarnation().GetNumber()] = member
	}
	for _, who := range directory.GetDead() {
		b.dead[who.GetNumber()] = true
	}
}

// viewOf returns the view of a shard, nil where there is none.
func viewOf(directory *wire.Directory, shard uint32) *wire.View {
	if int(shard) >= len(directory.GetViews()) {
		return nil
	}
	return directory.GetViews()[shard]
}

// others returns the members of a view beside its primary. Joining members
// count for acknowledgement, so that a copy misses no write.
func others(view *wire.View) []*wire.Incarnation {
	return append(append([]*wire.Incarnation(nil), view.GetBackups()...), view.GetJoining()...)
}

func contains(list []*wire.Incarnation, who *wire.Incarnation) bool {
	for _, one := range list {
		if wire.Same(one, who) {
			return true
		}
	}
	return false
}
