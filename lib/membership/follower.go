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
	// firstInterval is the time between renewals before the lease is known.
	firstInterval = 500 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed while it runs.
	renewalsPerLease = 4
	renewTimeout     = time.Second
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
	lease      time.Duration
	changed    chan struct{}
	dead       chan struct{}
	buried     bool
	// leader is the host that is thought to lead, next the one to ask where
	// none is.
	leader string
	next   int
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
		dead:      make(chan struct{}),
	}
}

// NewIncarnation returns a fresh incarnation of the process named id.
func NewIncarnation(id string) *wire.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &wire.Incarnation{Id: id, Number: binary.BigEndian.Uint64(b[:])}
}

// Run renews the lease until ctx ends or the member is declared dead.
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

// Dead returns a channel that is closed once the control group has declared
// this incarnation dead. It never is a member again: the process must end.
func (f *Follower) Dead() <-chan struct{} { return f.dead }

func (f *Follower) loop(ctx context.Context) {
	for {
		f.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.dead:
			return
		case <-time.After(f.interval()):
		}
	}
}

// interval is the time between two renewals.
func (f *Follower) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lease == 0 {
		return firstInterval
	}
	return f.lease / renewalsPerLease
}

// renew asks the leader, or the control hosts in turn until one knows it.
func (f *Follower) renew(ctx context.Context) {
	for range 2 * len(f.control) {
		if ctx.Err() != nil || f.renewAt(ctx, f.target()) {
			return
		}
	}
}

// target returns the host to ask next.
func (f *Follower) target() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	address := f.control[f.next%len(f.control)]
	f.next++
	return address
}

func (f *Follower) renewAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	directory := f.Directory()
	reply, err := wire.NewControlProtobufClient("http://"+address, f.client).Renew(ctx, &wire.RenewRequest{
		Member:           f.Member(),
		DirectoryVersion: directory.GetVersion(),
		ConfigVersion:    directory.GetConfigVersion(),
		Deltas:           true,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = reply.GetLeader()
	if err != nil || reply.GetLeaseMillis() == 0 {
		f.stopIfDead(reply)
		return reply.GetDead()
	}
	f.leader = address
	f.accept(sentAt, reply)
	return true
}

func (f *Follower) stopIfDead(reply *wire.RenewReply) {
	if !reply.GetDead() || f.buried {
		return
	}
	f.buried = true
	f.validUntil = time.Time{}
	f.log.Error("The control group has declared this process dead.")
	close(f.dead)
}

// accept takes a reply in; directories only ever move up.
func (f *Follower) accept(sentAt time.Time, reply *wire.RenewReply) {
	if f.buried {
		return
	}
	f.lease = time.Duration(reply.GetLeaseMillis()) * time.Millisecond
	if until := sentAt.Add(f.lease); until.After(f.validUntil) {
		f.validUntil = until
	}
	newest := reply.GetDirectory()
	if delta := reply.GetDelta(); delta != nil && delta.GetSince() == f.directory.GetVersion() {
		newest = merge(f.directory, delta)
	}
	if newest.GetVersion() <= f.directory.GetVersion() {
		return
	}
	f.directory = newest
	close(f.changed)
	f.changed = make(chan struct{})
}
