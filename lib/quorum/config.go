package quorum

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// Machine is the replicated state machine. Its methods are called by one
// goroutine at a time.
type Machine interface {
	// Apply executes a committed command. It must be deterministic: the result
	// may depend only on the commands applied so far. The result is returned to
	// the host that proposed the command.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state with that of a snapshot. An empty
	// snapshot stands for the initial state.
	Restore(snapshot []byte) error
}

// Transport carries calls to other hosts. A call that fails may still have
// reached the other host.
type Transport interface {
	Meet(ctx context.Context, to *wire.LogHost, q *wire.MeetRequest) (*wire.MeetReply, error)
	Vote(ctx context.Context, to *wire.LogHost, q *wire.VoteRequest) (*wire.VoteReply, error)
	Append(ctx context.Context, to *wire.LogHost, q *wire.AppendRequest) (*wire.AppendReply, error)
	Install(ctx context.Context, to *wire.LogHost, q *wire.InstallRequest) (*wire.InstallReply, error)
}

// Timing holds the intervals of a group. All hosts should use the same values.
type Timing struct {
	// Heartbeat is the interval at which an idle leader contacts its followers.
	Heartbeat time.Duration
	// Election is the minimum election timeout. Each timeout is a random
	// duration of up to twice this value. A leader that has not reached a
	// quorum for this long steps down.
	Election time.Duration
	// Install is the time limit for transferring one snapshot.
	Install time.Duration
}

// DefaultTiming suits hosts with a latency of a few milliseconds between them.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond, Install: 5 * time.Second}
}

// Config configures one host of a group.
type Config struct {
	// ID is the id of this host.
	ID string
	// Peers are the initial members of the group, this host included. A host
	// that has no other peers and no seeds creates a group of one.
	Peers []*wire.LogHost
	// Seeds are addresses of hosts, used instead of Peers. The hosts at these
	// addresses bootstrap the group, and any other host with an Address joins
	// it automatically.
	Seeds []string
	// Address is where the other hosts reach this one. It is required with
	// Seeds.
	Address string
	// Bootstrap allows a host to bootstrap a group if its data folder is created
	// in this run. It should be set only for the first start of the whole
	// system.
	Bootstrap bool
	// ToleratedLosses is the number of host failures to tolerate, 1 if it is 0.
	// A voter that is unreachable for RemoveAfter is removed if at least
	// 2*ToleratedLosses+1 voters are reachable. It is used only with Seeds.
	ToleratedLosses int
	// RemoveAfter is how long a host may be unreachable before it is removed,
	// 10 s if it is 0.
	RemoveAfter time.Duration
	// Now is the clock, time.Now if it is nil. It should include time during
	// which the machine is suspended.
	Now func() time.Time
	// Timing defaults to DefaultTiming.
	Timing Timing
	// CompactBytes is the log size at which the log is replaced by a snapshot,
	// 1 MiB if it is 0.
	CompactBytes int
}

const (
	defaultCompactBytes = 1 << 20
	defaultRemoveAfter  = 10 * time.Second
	defaultTolerated    = 1
)

// usesSeeds reports whether the host bootstraps or joins its group through
// seeds.
func (c Config) usesSeeds() bool { return len(c.Seeds) > 0 }

func (c Config) withDefaults() Config {
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming()
	}
	if c.CompactBytes == 0 {
		c.CompactBytes = defaultCompactBytes
	}
	if c.RemoveAfter == 0 {
		c.RemoveAfter = defaultRemoveAfter
	}
	if c.ToleratedLosses == 0 {
		c.ToleratedLosses = defaultTolerated
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Status is a host's view of its group.
type Status struct {
	Leader  string
	Term    uint64
	Commit  uint64
	Applied uint64
	// Current is set if this host is the leader, has recently reached a quorum
	// and has applied everything that earlier leaders committed.
	Current bool
	// InGroup is set if this host belongs to a group.
	InGroup bool
	// GroupVersion is the log index of the newest membership.
	GroupVersion uint64
	Hosts        []HostStatus
}

// HostStatus is a host's view of a member of the group.
type HostStatus struct {
	ID      string
	Address string
	Voter   bool
	// Match is the highest log index known to be replicated to the host. Only a
	// leader knows it.
	Match uint64
	// Reached is set if the host has recently replied to the leader.
	Reached bool
}
