package quorum

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// Machine is the state that the hosts agree upon. Its methods are called by
// one goroutine at a time.
type Machine interface {
	// Apply carries a committed command out; it must depend on nothing but the
	// commands so far. The result goes to the host that proposed it.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the whole state by a snapshot; an empty one stands for
	// the state before the first command.
	Restore(snapshot []byte) error
}

// Transport carries calls to other hosts. A call that fails may have arrived.
type Transport interface {
	Meet(ctx context.Context, to *wire.LogHost, q *wire.MeetRequest) (*wire.MeetReply, error)
	Vote(ctx context.Context, to *wire.LogHost, q *wire.VoteRequest) (*wire.VoteReply, error)
	Append(ctx context.Context, to *wire.LogHost, q *wire.AppendRequest) (*wire.AppendReply, error)
	Install(ctx context.Context, to *wire.LogHost, q *wire.InstallRequest) (*wire.InstallReply, error)
}

// Timing holds the intervals of a group; all hosts should have the same.
type Timing struct {
	// Heartbeat is how often a leader with nothing to say is heard from.
	Heartbeat time.Duration
	// Election is how long a host waits at the least for a leader; it waits up
	// to twice as long. A leader that has not reached a quorum for as long
	// gives up.
	Election time.Duration
	// Install bounds the transfer of one snapshot.
	Install time.Duration
}

// DefaultTiming suits hosts a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond, Install: 5 * time.Second}
}

// Config describes one host of a group.
type Config struct {
	// ID of this host.
	ID string
	// Peers are the hosts that found the group, this one included. None, or
	// this one alone, is a group of one.
	Peers []*wire.LogHost
	// Seeds are addresses, in place of Peers: the hosts behind them found the
	// group, and any other host with an Address joins it by itself.
	Seeds []string
	// Address at which the others reach this host; needed with Seeds.
	Address string
	// Found is set at the first start of the whole system alone: a host whose
	// folder was made then may found the group.
	Found bool
	// Tolerated losses: a host that stays away for RemoveAfter is removed where
	// at least twice as many and one remain; 1 where it is 0. With Seeds only.
	Tolerated int
	// RemoveAfter is 10 s where it is 0.
	RemoveAfter time.Duration
	// Now is the clock, time.Now where it is nil. It should count the time
	// during which the machine is suspended.
	Now func() time.Time
	// Timing is DefaultTiming where it is empty.
	Timing Timing
	// CompactBytes is the size of the log at which a snapshot takes its place;
	// 1 MiB where it is 0.
	CompactBytes int
}

const (
	defaultCompactBytes = 1 << 20
	defaultRemoveAfter  = 10 * time.Second
	defaultTolerated    = 1
)

// seeded tells whether the group is founded and joined by its seeds.
func (c Config) seeded() bool { return len(c.Seeds) > 0 }

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
	if c.Tolerated == 0 {
		c.Tolerated = defaultTolerated
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Status is what a host knows of its group.
type Status struct {
	Leader  string
	Term    uint64
	Commit  uint64
	Applied uint64
	// Current is set where this host leads and has lately reached a quorum.
	Current bool
	// Founded is unset where this host belongs to no group yet.
	Founded bool
	// Group version is the log index of the newest membership.
	GroupVersion uint64
	Hosts        []HostStatus
}

// HostStatus is what a host knows of another.
type HostStatus struct {
	ID      string
	Address string
	Voter   bool
	// Match is how far the host is known to follow; only a leader knows.
	Match uint64
	// Reached is set where the host has answered the leader lately.
	Reached bool
}
