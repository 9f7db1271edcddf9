// Package membership lets a process belong to the system: it renews the lease
// of its incarnation and follows the directory of members, ledger views and
// configuration.
package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	renewInterval = 500 * time.Millisecond
	renewTimeout  = time.Second
)

// Follower renews one member's lease and keeps the newest directory.
type Follower struct {
	client  *http.Client
	control []string
	log     *slog.Logger

	mu         sync.Mutex
	member     *wire.Member
	directory  *wire.Directory
	validUntil time.Time
	changed    chan struct{}
	target     int
}

// New returns a follower for member that asks the control hosts at the given
// addresses. Run starts it.
func New(client *http.Client, control []string, member *wire.Member, log *slog.Logger) *Follower {
	return &Follower{
		client:    client,
		control:   control,
		log:       log,
		member:    member,
		directory: &wire.Directory{},
		changed:   make(chan struct{}),
	}
}

// NewIncarnation returns a fresh incarnation of the process named id.
func NewIncarnation(id string) *wire.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &wire.Incarnation{Id: id, Number: binary.BigEndian.Uint64(b[:])}
}

// Run renews the lease until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

// Member returns the member as it is announced.
func (f *Follower) Member() *wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member
}

// Directory returns the newest directory. The caller must not change it.
func (f *Follower) Directory() *wire.Directory {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory
}

// Current tells whether the lease stands, so that the directory may be acted
// upon and new work taken.
func (f *Follower) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.validUntil)
}

// Changed returns a channel that is closed with the next change of the
// directory.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Leave announces that the member is leaving.
func (f *Follower) Leave(ctx context.Context) {
	f.mu.Lock()
	f.member = &wire.Member{
		Incarnation: f.member.Incarnation,
		Role:        f.member.Role,
		Address:     f.member.Address,
		DataCentre:  f.member.DataCentre,
		Rack:        f.member.Rack,
		Leaving:     true,
	}
	f.mu.Unlock()
	f.renew(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		f.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) renew(ctx context.Context) {
	for range f.control {
		if f.renewAt(ctx, f.control[f.target%len(f.control)]) {
			return
		}
		f.target++
	}
}

func (f *Follower) renewAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	request := &wire.RenewRequest{Member: f.Member(), DirectoryVersion: f.Directory().GetVersion()}
	reply, err := wire.NewControlProtobufClient("http://"+address, f.client).Renew(ctx, request)
	if err != nil || reply.GetLeaseMillis() == 0 {
		return false
	}
	f.accept(sentAt, reply)
	return true
}

// accept takes a reply in; directories only ever move up.
func (f *Follower) accept(sentAt time.Time, reply *wire.RenewReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.validUntil = sentAt.Add(time.Duration(reply.GetLeaseMillis()) * time.Millisecond)
	if reply.GetDirectory().GetVersion() <= f.directory.GetVersion() {
		return
	}
	f.directory = reply.GetDirectory()
	close(f.changed)
	f.changed = make(chan struct{})
}
