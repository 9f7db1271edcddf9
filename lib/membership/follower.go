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

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/link"
	"skylarklane.example/lib/wire"
)

const (
	// firstInterval is the time between renewals before the lease is known.
	firstInterval = 500 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed while it runs.
	renewalsPerLease = 4
	// maxInterval bounds the time between renewals, so that a change is soon
	// followed everywhere.
	maxInterval = 350 * time.Millisecond
	// hostTimeout bounds how long one host is waited for.
	hostTimeout = 700 * time.Millisecond
	// triesPerLease is how many renewals that get no answer fit into what is left
	// of a lease when the first one is sent.
	triesPerLease = 2
	// roundPause is the longest wait after all hosts were asked in vain.
	roundPause = 100 * time.Millisecond
	// forwardTime is how long renewals are passed on before the leader is asked
	// directly again.
	forwardTime = 3 * time.Second
)

// Follower renews one member's lease and keeps the newest directory.
type Follower struct {
	client *http.Client
	log    *slog.Logger

	mu sync.Mutex
	// seeds are the control hosts of the settings, hosts those that the group
	// has named.
	seeds        []string
	hosts        []string
	hostsVersion uint64
	member       *wire.Member
	// rejoined is told of each new incarnation; without it a dead member ends.
	rejoined func(*wire.Incarnation)
	// joining is set until this incarnation has a lease.
	joining bool
	// forwardUntil is how long renewals are passed on by another host, as the
	// leader was silent.
	forwardUntil time.Time
	// lost is set while no control host has answered.
	lost         bool
	heardAt      time.Time
	configuredAt time.Time
	directory    *wire.Directory
	validUntil   time.Time
	lease        time.Duration
	changed      chan struct{}
	dead         chan struct{}
	buried       bool
	keepsJobs    bool
	// leader is the host that is thought to lead, next the one to ask where
	// none is.
	leader string
	next   int
}

// New returns a follower for member that asks the control hosts at the given
// addresses. Run starts it.
func New(client *http.Client, control []string, member *wire.Member, log *slog.Logger) *Follower {
	return &Follower{
		client:    link.Client(client),
		seeds:     control,
		joining:   true,
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

// KeepsJobs tells whether the control group had kept jobs when it last answered.
func (f *Follower) KeepsJobs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keepsJobs
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
// this incarnation dead, unless the member rejoins. It never is a member again:
// the process must end.
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
	if f.lost {
		return pauseAfterRound(f.lease)
	}
	return intervalWithin(f.lease)
}

// renewTimeout is how long one host is waited for.
func (f *Follower) renewTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return timeoutWithin(f.lease)
}

// intervalWithin returns the time between two renewals of a lease, which is 0
// while none is known.
func intervalWithin(lease time.Duration) time.Duration {
	if lease == 0 {
		return firstInterval
	}
	return min(lease/renewalsPerLease, maxInterval)
}

// pauseAfterRound returns the wait after all hosts were asked in vain.
func pauseAfterRound(lease time.Duration) time.Duration {
	return min(roundPause, intervalWithin(lease))
}

// timeoutWithin returns how long to wait for one host, so that after a renewal
// that got no answer there is time for another one within the lease.
func timeoutWithin(lease time.Duration) time.Duration {
	if lease == 0 {
		return hostTimeout
	}
	left := lease - intervalWithin(lease) - pauseAfterRound(lease)
	return min(left/triesPerLease, hostTimeout)
}

// renew asks the leader, or the control hosts in turn until one knows it.
func (f *Follower) renew(ctx context.Context) {
	silent := map[string]bool{}
	for range 2*len(f.addresses()) + 2 {
		if ctx.Err() != nil {
			return
		}
		address := f.target(silent)
		if address == "" {
			break
		}
		granted, answered := f.renewAt(ctx, address)
		if granted {
			f.regain()
			return
		}
		silent[address] = !answered
		if !answered {
			f.forward()
		}
	}
	f.lose(ctx)
}

// target returns the host to ask next, none where all are silent.
func (f *Follower) target(silent map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" && !silent[f.leader] {
		return f.leader
	}
	all := f.allAddresses()
	for range all {
		address := all[f.next%len(all)]
		f.next++
		if !silent[address] {
			return address
		}
	}
	return ""
}

// renewAt asks one host. It tells whether the round is over, and whether the
// host answered at all.
func (f *Follower) renewAt(ctx context.Context, address string) (over, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, f.renewTimeout())
	defer cancel()
	sentAt := time.Now()
	directory := f.Directory()
	q := f.request(directory)
	reply, err := wire.NewControlProtobufClient("http://"+address, f.client).Renew(ctx, q)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = reply.GetLeader()
	if !wire.Same(q.GetMember().GetIncarnation(), f.member.GetIncarnation()) {
		return true, true
	}
	if err != nil || reply.GetLeaseMillis() == 0 {
		f.stopIfDead(reply)
		return reply.GetDead(), err == nil
	}
	f.leader = address
	f.accept(sentAt, reply)
	return true, true
}

// request asks for what is newer than a directory. An incarnation that has no
// lease yet asks for all: else it would count as one that was a member before.
func (f *Follower) request(directory *wire.Directory) *wire.RenewRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &wire.RenewRequest{Member: f.member, Deltas: true, HostsVersion: f.hostsVersion, Forward: time.Now().Before(f.forwardUntil)}
	if !f.joining {
		q.DirectoryVersion = directory.GetVersion()
		q.ConfigVersion = directory.GetConfigVersion()
	}
	return q
}

func (f *Follower) stopIfDead(reply *wire.RenewReply) {
	if !reply.GetDead() || f.buried {
		return
	}
	if f.rejoined != nil {
		f.rejoin()
		return
	}
	f.buried = true
	f.validUntil = time.Time{}
	event.DeclaredDead.Log(context.Background(), f.log)
	close(f.dead)
}

// accept takes a reply in; directories only ever move up.
func (f *Follower) accept(sentAt time.Time, reply *wire.RenewReply) {
	if f.buried {
		return
	}
	f.lease = time.Duration(reply.GetLeaseMillis()) * time.Millisecond
	f.joining = false
	f.keepsJobs = reply.GetKeepsJobs()
	f.heardAt = time.Now()
	if reply.GetHostsVersion() > 0 {
		f.hosts, f.hostsVersion = reply.GetHosts(), reply.GetHostsVersion()
	}
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
	if newest.GetConfigVersion() != f.directory.GetConfigVersion() {
		f.configuredAt = f.heardAt
		event.ConfigInForce.Log(context.Background(), f.log, slog.Uint64("version", newest.GetConfigVersion()), slog.Uint64("before", f.directory.GetConfigVersion()))
	}
	f.directory = newest
	close(f.changed)
	f.changed = make(chan struct{})
}
