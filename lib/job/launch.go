package job

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/wire"
)

const (
	// launchTimeout bounds one Launch call.
	launchTimeout = 150 * time.Millisecond
	// launchValidity is how long after it was sent a launch may be carried out.
	launchValidity = 300 * time.Millisecond
	// refusedPause is how long an agent gets no launches after it refused one
	// for which its reported state has capacity.
	refusedPause = 25 * time.Millisecond
	// contestedDuration is how long after a refusal other entries are assumed
	// to compete for the agent.
	contestedDuration = 200 * time.Millisecond
	// unreachablePause is how long an agent gets no launches after one was not
	// answered, not sent, or rejected as a whole.
	unreachablePause = 100 * time.Millisecond
)

// launch is a call that starts tasks of one job at one agent.
type launch struct {
	d         *Dispatcher
	link      *link
	runner    wire.Runner
	activeJob *activeJob
	runs      []*run
	q         *wire.LaunchRequest
	// inputs are the values that the choice of the worker was based on, for
	// the log.
	inputs []slog.Attr
	// delay is the wait before the launch is sent.
	delay time.Duration
}

// newLaunch returns an empty launch.
func (d *Dispatcher) newLaunch(job *activeJob, l *link, now time.Duration) *launch {
	return &launch{d: d, link: l, runner: l.runner, activeJob: job, inputs: d.placementInputs(job, l, now), delay: d.yieldDelay(job, l, now), q: &wire.LaunchRequest{
		Entry:          d.self,
		Agent:          l.agent,
		NotAfterMillis: min(l.sessionMillis, l.agentMillis(now+launchValidity)),
		Service:        job.Service,
		Worker:         l.reported.GetId(),
		Spec:           job.Spec,
		Priority:       job.Kind.GetPriority(),
		Epoch:          job.durable.ownerEpoch(),
		Claimant:       job.claimant,
	}}
}

// yieldDelay returns how long the launch is deferred in favour of other
// entries' jobs.
func (d *Dispatcher) yieldDelay(job *activeJob, l *link, now time.Duration) time.Duration {
	if now > l.contestedUntil {
		return 0
	}
	delay := d.cfg.YieldDelay * time.Duration(min(job.Kind.GetPriority(), 3))
	if job.isLate(now) && job.started == 0 {
		delay += d.cfg.YieldDelay
	}
	return delay
}

// add adds a run to the launch.
func (call *launch) add(r *run) {
	call.runs = append(call.runs, r)
	t := &wire.LaunchTask{
		Run:            r.id(),
		Need:           r.need.ToWire(),
		ExpectedMillis: call.d.expectedRunTime(r).Milliseconds(),
	}
	if r.wait > 0 {
		t.WaitMillis = r.wait.Milliseconds()
		t.SlackMillis = r.slack().Milliseconds()
	}
	call.q.Tasks = append(call.q.Tasks, t)
}

// run sends the launch and processes the reply. The launch is never sent again:
// if one copy were refused, a delayed one could still be accepted.
func (call *launch) run() {
	sleep(call.d.ctx, call.delay)
	ctx, cancel := context.WithTimeout(call.d.ctx, launchTimeout)
	defer cancel()
	reply, err := call.runner.Launch(ctx, call.q)
	call.d.handleLaunchReply(call, reply, err)
}

// mayHaveLaunched reports whether a launch that returned this error may have
// been, or may still be, carried out.
func mayHaveLaunched(err error) bool {
	return err != nil && !isNotSent(err) && !isRejected(err)
}

// isNotSent reports whether a call failed because no connection was made.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isRejected reports whether the agent has rejected the call as a whole.
func isRejected(err error) bool {
	var e twirp.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code() == twirp.FailedPrecondition || e.Code() == twirp.InvalidArgument
}

// handleLaunchReply processes the reply or error of a launch.
func (d *Dispatcher) handleLaunchReply(call *launch, reply *wire.LaunchReply, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	switch {
	case mayHaveLaunched(err) || err == nil && len(reply.GetResults()) != len(call.runs):
		d.launchUnanswered(call, err, now)
	case err != nil:
		d.launchRejected(call, err, now)
	default:
		d.launchAnswered(call, reply, now)
	}
	d.place(now)
}

// launchUnanswered halts the runs of a launch for which it is not known whether
// they have started.
func (d *Dispatcher) launchUnanswered(call *launch, err error, now time.Duration) {
	call.link.dropConnections()
	call.link.pausedUntil = now + unreachablePause
	d.logLaunchUnanswered(call, err)
	for _, r := range call.unendedRuns() {
		d.unreserve(r)
		d.halt(r, reasonNoReply, now)
	}
}

// launchRejected retries the tasks of a launch that was rejected as a whole or
// not sent.
func (d *Dispatcher) launchRejected(call *launch, err error, now time.Duration) {
	call.link.pausedUntil = now + unreachablePause
	if isNotSent(err) {
		call.link.dropConnections()
	}
	for _, r := range call.unendedRuns() {
		d.retryTask(r, reasonNotSent, err.Error(), now)
	}
}

// launchAnswered processes the agent's result for each run of a launch.
func (d *Dispatcher) launchAnswered(call *launch, reply *wire.LaunchReply, now time.Duration) {
	if wire.Same(call.q.GetAgent(), call.link.agent) {
		call.link.updateState(reply.GetWorker(), now)
	}
	var accepted, waiting []*run
	for i, r := range call.runs {
		result := reply.GetResults()[i]
		switch {
		case call.link.runs[r.key()] != r: // its end was reported first, or the agent has restarted
		case result.GetAccepted() && result.GetQueued():
			accepted = append(accepted, r)
			waiting = append(waiting, r)
			d.runQueued(r, now)
		case result.GetAccepted():
			accepted = append(accepted, r)
			d.unreserve(r)
			r.wait = 0
			d.runStarted(r, now)
		case result.GetReason() == wire.ReasonClaimed:
			d.runClaimedElsewhere(r)
		default:
			d.runRefused(r, result.GetReason(), now)
		}
	}
	d.logPlaced(call, accepted, waiting)
}

// runStarted records that a run has started at the given time.
func (d *Dispatcher) runStarted(r *run, at time.Duration) {
	job := r.activeJob
	r.setStarted(true)
	r.waitUntil = 0
	d.durableJobs.recordStart(job)
	if job.startedAt == 0 || job.startUnclear {
		job.startedAt, job.startUnclear = at, false
		d.history.AddStart()
		d.recordWait(job, at)
		d.metrics.waited.RecordDuration(at - job.receivedAt)
	}
}

// runRefused retries the task of a run that an agent refused.
func (d *Dispatcher) runRefused(r *run, reason string, now time.Duration) {
	l := r.link
	d.metrics.refusal("agent." + reason)
	l.contestedUntil = now + contestedDuration
	if r.wait > 0 {
		l.waitsPausedUntil = now + refusedPause
	}
	if r.need.Fits(l.available()) && !l.hasWaiting(r.activeJob.Kind.GetPriority()) {
		l.pausedUntil = now + refusedPause
	}
	d.retryTask(r, causeRefused, reason, now)
}

// unendedRuns returns the runs of the launch that are not known to have ended.
func (call *launch) unendedRuns() []*run {
	var unendedRuns []*run
	for _, r := range call.runs {
		if call.link.runs[r.key()] == r {
			unendedRuns = append(unendedRuns, r)
		}
	}
	return unendedRuns
}
