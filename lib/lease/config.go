package lease

import (
	"time"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// Config is what a keeper is told. Durations that are 0 take their defaults.
type Config struct {
	// Agent is the incarnation of this agent.
	Agent *wire.Incarnation
	// Session is how long an entry's session lasts after its last watch.
	Session time.Duration
	// Lease is how far ahead the worker's lease is extended.
	Lease time.Duration
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// Grace is how long after the end of its session a run's lease may last.
	Grace time.Duration
	// Patience is how long a silent worker's lease is still extended.
	Patience time.Duration
	// KeepsEnds tells whether a store has kept jobs. While it does, ends that an
	// earlier incarnation of the agent has left are acknowledged only once the
	// worker's lease has lapsed. Nil is never.
	KeepsEnds func() bool
	// Clock measures sessions, clock.Boot by default.
	Clock clock.Clock
}

// The defaults of Config.
const (
	DefaultSession  = wire.SessionLength
	DefaultLease    = 600 * time.Millisecond
	DefaultLeaseMax = wire.LeaseAhead
	DefaultGrace    = 400 * time.Millisecond
	DefaultPatience = 400 * time.Millisecond
)

const (
	// callTimeout is the time for one try of a start or a stop.
	callTimeout = 60 * time.Millisecond
	// stopInterval is the time between two tries of a stop.
	stopInterval = 100 * time.Millisecond
	// holdWait is how long a hold waits at the worker for an end.
	holdWait = 150 * time.Millisecond
	// holdSlack is how much longer than its wait a hold may take.
	holdSlack = 150 * time.Millisecond
	// holdPause is the first pause after a hold that fails; they double up to
	// pauseMax.
	holdPause = 50 * time.Millisecond
	pauseMax  = 200 * time.Millisecond
	// clearWait is how long a hold waits while orders or unknown runs are being
	// settled.
	clearWait = 20 * time.Millisecond
	// pulseInterval is how often the age of the last report is looked at.
	pulseInterval = 50 * time.Millisecond
	// pulseAge is the age of the last acknowledged hold at which another one is
	// sent beside the long poll.
	pulseAge = 350 * time.Millisecond
	// pulseTimeout is the time for a hold that does not wait.
	pulseTimeout = 100 * time.Millisecond
	// tickInterval is how often sessions and silent workers are looked at.
	tickInterval = 20 * time.Millisecond
	// forgetTicks is how many ticks are between two looks at what is too old.
	forgetTicks = 50
	// stateInterval is for how long changes of the worker's state are gathered.
	stateInterval = 10 * time.Millisecond
	// sessionMemory is how long a session that has ended is remembered.
	sessionMemory = 10 * time.Minute
	// numberMemory is how long the number of a task's last run is remembered.
	numberMemory = time.Minute

	startTries      = 2
	refusalTries    = 12
	startsAtOnce    = 32
	stopsAtOnce     = 16
	livesRemembered = 16

	// slowest is the rate of the slowest clock of a worker.
	slowest = 0.98
	// margin covers the slowest clock with room to spare.
	margin = 1.05
	// fenceStep is the first step by which a refused fence is raised, in
	// milliseconds.
	fenceStep = 1000
)

func (c Config) withDefaults() Config {
	c.Session = either(c.Session, DefaultSession)
	c.Lease = either(c.Lease, DefaultLease)
	c.LeaseMax = either(c.LeaseMax, DefaultLeaseMax)
	c.Lease = min(c.Lease, c.LeaseMax)
	c.Grace = either(c.Grace, DefaultGrace)
	c.Patience = either(c.Patience, DefaultPatience)
	if c.Clock == nil {
		c.Clock = clock.Boot()
	}
	return c
}

func either(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
