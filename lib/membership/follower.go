// Package membership makes a process a member of the system: it renews the
// lease of the process's incarnation and follows the directory of members,
// ledger views and configuration.
package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/link"
	"skylarklane.example/lib/wire"
)

const (
	// firstInterval is the interval between renewals until the length of the
	// lease is known.
	firstInterval = 500 * time.Millisecond
	// renewalsPerLease is the number of renewals during one length of the
	// lease.
	renewalsPerLease = 4
	// maxInterval bounds the interval between renewals, because members learn
	// of directory changes by the replies.
	maxInterval = 350 * time.Millisecond
	// hostTimeout bounds the wait for one host's reply.
	hostTimeout = 700 * time.Millisecond
	// attemptsPerLease is the number of timeouts that fit between a due renewal
	// and the end of the lease, so that a lost renewal can be repeated.
	attemptsPerLease = 2
	// roundDelay bounds the delay before the control hosts are asked again
	// after none of them granted a lease.
	roundDelay = 100 * time.Millisecond
	// forwardDuration is how long renewals ask other hosts to forward them
	// after the leader did not answer.
	forwardDuration = 3 * time.Second
)

// Follower renews one member's lease and keeps the newest directory.
type Follower struct {
	client *http.Client
	clock  clock.Clock
	log    *slog.Logger

	mu sync.Mutex
	// seeds are the addresses of control hosts from the settings, hosts those
	// reported by the control group, as of hostsVersion.
	seeds        []string
	hosts        []string
	hostsVersion uint64
	member       *wire.Member
	// onRejoin is called with each new incarnation. If it is nil, a member
	// that is declared dead does not rejoin.
	onRejoin func(*wire.Incarnation)
	// joining is true until this incarnation has been granted a lease.
	joining bool
	// forwardUntil is the time until which renewals ask other hosts to forward
	// them to the leader, which did not answer.
	forwardUntil time.Time
	// disconnected is true while no control host grants a lease.
	disconnected bool
	lastGrantAt  time.Time
	configuredAt time.Time
	directory    *wire.Directory
	// grantedAt is when the last renewal that was granted was sent, by the clock;
	// granted is closed at the next one.
	grantedAt time.Duration
	granted   chan struct{}
	// validUntil is the reading of the clock at which the lease expires, lease its
	// length.
	validUntil time.Duration
	lease      time.Duration
	// changed is closed and replaced when the directory changes.
	changed      chan struct{}
	dead         chan struct{}
	declaredDead bool
	// hasDurableJobs is whether the control group held durable jobs when it
	// last granted the lease.
	hasDurableJobs bool
	// leader is the address of the presumed leader. If it is empty, nextHost
	// selects the host to ask.
	leader   string
	nextHost int
	// evacuatedGauge is nil if the process has no metrics.
	evacuatedGauge tally.Gauge
}

// New returns a follower for member that uses the control hosts at the given
// addresses. The lease is measured on c. Run starts the follower.
func New(client *http.Client, control []string, member *wire.Member, c clock.Clock, log *slog.Logger) *Follower {
	return &Follower{
		client:    link.Client(client),
		clock:     c,
		seeds:     control,
		joining:   true,
		log:       log,
		member:    member,
		directory: &wire.Directory{},
		changed:   make(chan struct{}),
		granted:   make(chan struct{}),
		dead:      make(chan struct{}),
	}
}

// NewIncarnation returns a new incarnation of the process named id.
func NewIncarnation(id string) *wire.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &wire.Incarnation{Id: id, Number: binary.BigEndian.Uint64(b[:])}
}

// Run renews the lease until ctx ends or the member is declared dead.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

// Member returns the member as it is announced to the control group.
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

// KeepsJobs reports whether the control group held durable jobs when it last
// granted the lease.
func (f *Follower) KeepsJobs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasDurableJobs
}

// Current reports whether the lease is valid, so that the process may rely on
// the directory and accept new work.
func (f *Follower) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now() < f.validUntil
}

// Refresh waits until the directory is at least as new as the call: until a
// renewal that was sent later is granted.
func (f *Follower) Refresh(ctx context.Context) error {
	calledAt := f.clock.Now()
	for {
		f.mu.Lock()
		done, granted := f.grantedAt >= calledAt, f.granted
		f.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-granted:
		}
	}
}

// Changed returns a channel that is closed at the next change of the
// directory.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Leave announces to the control group that the member is leaving.
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
// this incarnation dead, unless the member rejoins. The incarnation can't become
// a member again, so the process must exit.
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

// interval returns the delay before the next renewal.
func (f *Follower) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected {
		return roundDelayFor(f.lease)
	}
	return intervalFor(f.lease)
}

// renewTimeout returns how long to wait for one host's reply.
func (f *Follower) renewTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return timeoutFor(f.lease)
}

// intervalFor returns the interval between renewals of a lease of the given
// length, which is 0 if it is not yet known.
func intervalFor(lease time.Duration) time.Duration {
	if lease == 0 {
		return firstInterval
	}
	return min(lease/renewalsPerLease, maxInterval)
}

// roundDelayFor returns the delay before the control hosts are asked again after
// none of them granted a lease.
func roundDelayFor(lease time.Duration) time.Duration {
	return min(roundDelay, intervalFor(lease))
}

// timeoutFor returns how long to wait for one host's reply. It is short enough
// for another attempt within the lease after one has timed out.
func timeoutFor(lease time.Duration) time.Duration {
	if lease == 0 {
		return hostTimeout
	}
	left := lease - intervalFor(lease) - roundDelayFor(lease)
	return min(left/attemptsPerLease, hostTimeout)
}

// renew asks the presumed leader for a renewal, or else the control hosts in
// turn until one grants it.
func (f *Follower) renew(ctx context.Context) {
	unresponsive := map[string]bool{}
	for range 2*len(f.ControlHosts()) + 2 {
		if ctx.Err() != nil {
			return
		}
		address := f.nextTarget(unresponsive)
		if address == "" {
			break
		}
		done, answered := f.renewAt(ctx, address)
		if done {
			f.setConnected()
			return
		}
		unresponsive[address] = !answered
		if !answered {
			f.requestForwarding()
		}
	}
	f.setDisconnected(ctx)
}

// nextTarget returns the host to ask next, or "" if all of them are
// unresponsive.
func (f *Follower) nextTarget(unresponsive map[string]bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" && !unresponsive[f.leader] {
		return f.leader
	}
	all := f.controlHostsLocked()
	for range all {
		address := all[f.nextHost%len(all)]
		f.nextHost++
		if !unresponsive[address] {
			return address
		}
	}
	return ""
}

// renewAt asks one host for a renewal. It reports whether no other host has to be
// asked, because the lease was granted, the member was declared dead or has
// rejoined, and whether the host answered.
func (f *Follower) renewAt(ctx context.Context, address string) (done, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, f.renewTimeout())
	defer cancel()
	sentAt := f.clock.Now()
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
		f.handleDeclaredDead(reply)
		return reply.GetDead(), err == nil
	}
	f.leader = address
	f.applyReply(sentAt, reply)
	return true, true
}

// request builds a renewal that asks for the changes since the version of a
// directory. An incarnation that has not been granted a lease asks for the whole
// directory: with a version, it would be taken for a former member.
func (f *Follower) request(directory *wire.Directory) *wire.RenewRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &wire.RenewRequest{Member: f.member, Deltas: true, Packed: true, HostsVersion: f.hostsVersion, Forward: time.Now().Before(f.forwardUntil)}
	if !f.joining {
		q.DirectoryVersion = directory.GetVersion()
		q.ConfigVersion = directory.GetConfigVersion()
	}
	return q
}

// handleDeclaredDead makes the member rejoin or end if reply declares it dead.
func (f *Follower) handleDeclaredDead(reply *wire.RenewReply) {
	if !reply.GetDead() || f.declaredDead {
		return
	}
	if f.onRejoin != nil {
		f.rejoin()
		return
	}
	f.declaredDead = true
	f.validUntil = 0
	event.DeclaredDead.Log(context.Background(), f.log)
	close(f.dead)
}

// recordGrant records that the renewal that was sent at sentAt is granted and
// applied.
func (f *Follower) recordGrant(sentAt time.Duration) {
	f.grantedAt = max(f.grantedAt, sentAt)
	close(f.granted)
	f.granted = make(chan struct{})
}

// applyReply processes a reply that grants a lease. It ignores a directory that
// isn't newer than the current one.
func (f *Follower) applyReply(sentAt time.Duration, reply *wire.RenewReply) {
	if f.declaredDead {
		return
	}
	f.lease = time.Duration(reply.GetLeaseMillis()) * time.Millisecond
	f.joining = false
	f.hasDurableJobs = reply.GetKeepsJobs()
	f.lastGrantAt = time.Now()
	if reply.GetHostsVersion() > 0 {
		f.hosts, f.hostsVersion = reply.GetHosts(), reply.GetHostsVersion()
	}
	f.validUntil = max(f.validUntil, sentAt+f.lease)
	newest := reply.GetDirectory()
	if delta := reply.GetDelta(); delta != nil && delta.GetSince() == f.directory.GetVersion() {
		merged, err := merge(f.directory, delta)
		if err != nil {
			event.ConfigUnreadable.Log(context.Background(), f.log, slog.Uint64("before", f.directory.GetConfigVersion()), slog.Any("error", err))
			return
		}
		newest = merged
	}
	f.recordGrant(sentAt)
	if newest.GetVersion() <= f.directory.GetVersion() {
		return
	}
	if newest.GetConfigVersion() != f.directory.GetConfigVersion() {
		f.configuredAt = f.lastGrantAt
		event.ConfigInForce.Log(context.Background(), f.log, slog.Uint64("version", newest.GetConfigVersion()), slog.Uint64("before", f.directory.GetConfigVersion()))
	}
	f.recordEvacuations(newest)
	f.directory = newest
	close(f.changed)
	f.changed = make(chan struct{})
}
