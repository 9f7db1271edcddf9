package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// Config configures a Manager. Durations that are 0 take their defaults.
type Config struct {
	// Agent identifies this incarnation of the agent.
	Agent *wire.Incarnation
	// Session is how long an entry's session lasts after the last watch that
	// renewed it.
	Session time.Duration
	// Lease is how far ahead the worker's lease is extended.
	Lease time.Duration
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// Grace is how long a run's lease may outlast the end of its session.
	Grace time.Duration
	// SilenceTimeout is how long the lease of a worker that does not answer
	// is still extended.
	SilenceTimeout time.Duration
	// HasDurableJobs reports whether the store holds durable jobs. While it
	// does, the ends of runs that an earlier incarnation of the agent started
	// are acknowledged only after the worker's lease has expired. A nil func
	// means that there are none.
	HasDurableJobs func() bool
	// Evacuated reports whether the agent's data centre is evacuated. While it is, no
	// run is started; runs that the worker has confirmed go on. A nil func means
	// that it never is.
	Evacuated func() bool
	// EvacuationChanged returns a channel that is closed when Evacuated may report
	// something else. If it is nil, Evacuated is polled.
	EvacuationChanged func() <-chan struct{}
	// Claim claims a job for an entry, and reports whether no other entry has it. It is
	// called before a run of a launch with a claimant is started, and ctx ends with the
	// last run of the job.
	Claim func(ctx context.Context, job string, claimant *wire.Member) bool
	// Clock measures sessions. The default is clock.Boot.
	Clock clock.Clock
}

// The defaults of Config.
const (
	DefaultSession        = wire.SessionLength
	DefaultLease          = 600 * time.Millisecond
	DefaultLeaseMax       = wire.LeaseAhead
	DefaultGrace          = 400 * time.Millisecond
	DefaultSilenceTimeout = 400 * time.Millisecond
)

const (
	// callTimeout bounds one attempt of a start or a stop.
	callTimeout = 60 * time.Millisecond
	// stopInterval is the time between two attempts to stop a run.
	stopInterval = 100 * time.Millisecond
	// holdWait is how long the worker may delay its answer to a hold until a
	// run ends.
	holdWait = 150 * time.Millisecond
	// holdSlack is added to the wait of a hold to obtain the timeout of the
	// call.
	holdSlack = 150 * time.Millisecond
	// holdBackoff is the pause after the first failed hold; it doubles with
	// each further failure, up to holdBackoffMax.
	holdBackoff    = 50 * time.Millisecond
	holdBackoffMax = 200 * time.Millisecond
	// clearWait is the wait of a hold while the outcome of unanswered starts or
	// the end of orphans is awaited.
	clearWait = 20 * time.Millisecond
	// probeInterval is the minimum interval at which the age of the last
	// acknowledged hold is checked.
	probeInterval = 50 * time.Millisecond
	// probeAge is the age of the last acknowledged hold from which a second
	// hold is sent beside the long poll.
	probeAge = 350 * time.Millisecond
	// probeTimeout bounds a hold that does not wait.
	probeTimeout = 100 * time.Millisecond
	// tickInterval is how often sessions and unresponsive workers are
	// checked.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the same while there are no runs and no entry waits for a
	// change.
	idleTickInterval = 100 * time.Millisecond
	// maxTickGap is the time without a tick from which the process counts as having
	// been stopped.
	maxTickGap = 250 * time.Millisecond
	// evictionInterval is the time between two evictions of expired state.
	evictionInterval = time.Second
	// stateInterval is how long changes of the worker's state are batched. The reply
	// to a launch and the report of an end have the newest state.
	stateInterval = 25 * time.Millisecond
	// sessionRetention is how long a session is remembered after its end.
	sessionRetention = 10 * time.Minute
	// runNumberRetention is how long the number of a task's last run is
	// remembered.
	runNumberRetention = time.Minute

	// maxUnansweredStarts is the number of unanswered calls after which a run
	// is stopped instead of started; maxStartCalls bounds all calls to start
	// it.
	maxUnansweredStarts = 2
	maxStartCalls       = 12
	maxConcurrentStarts = 32
	maxConcurrentStops  = 16
	// maxRetiredNames is the number of replaced incarnations whose late
	// announcements are recognised.
	maxRetiredNames = 16

	// minClockRate is the rate of the slowest worker clock relative to the
	// agent's.
	minClockRate = 0.98
	// clockMargin is the factor by which waits are lengthened so that they
	// suffice for the slowest worker clock, with a margin.
	clockMargin = 1.05
	// sequenceTimeout is for how long rising sequence numbers are ignored because
	// an announcement with a higher one came before.
	sequenceTimeout = 3 * time.Second
	// fenceStep is the first step, in milliseconds, by which a refused fence
	// is raised.
	fenceStep = 1000
)

func (c Config) withDefaults() Config {
	c.Session = orDefault(c.Session, DefaultSession)
	c.Lease = orDefault(c.Lease, DefaultLease)
	c.LeaseMax = orDefault(c.LeaseMax, DefaultLeaseMax)
	c.Lease = min(c.Lease, c.LeaseMax)
	c.Grace = orDefault(c.Grace, DefaultGrace)
	c.SilenceTimeout = orDefault(c.SilenceTimeout, DefaultSilenceTimeout)
	if c.Clock == nil {
		c.Clock = clock.Boot()
	}
	return c
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
