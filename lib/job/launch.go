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
	// launchTimeout bounds one call.
	launchTimeout = 150 * time.Millisecond
	// launchValidity is how long after its sending a launch may be carried out.
	launchValidity = 300 * time.Millisecond
	// refusedPause is how long an agent gets no launches after it refused one
	// for which its reported state has capacity.
	refusedPause = 25 * time.Millisecond
	// contestedDuration is how long an agent counts as contested after a refusal.
	contestedDuration = 200 * time.Millisecond
	// unreachablePause is how long an agent gets no launches after one was
	// unanswered, not sent, or rejected as a whole.
	unreachablePause = 100 * time.Millisecond
)

// launch is a call that starts tasks of one job at one agent.
type launch struct {
	d        *Dispatcher
	link     *link
	runner   wire.Runner
	workItem *workItem
	runs     []*run
	q        *wire.LaunchRequest
	// inputs are the values that the choice of the worker was based on, for
	// the log.
	inputs []slog.Attr
	// delay is the wait before the launch is sent.
	delay time.Duration
}

// newLaunch returns an empty launch.
func (d *Dispatcher) newLaunch(w *workItem, l *link, now time.Duration) *launch {
	return &launch{d: d, link: l, runner: l.runner, workItem: w, inputs: d.inputsOf(w, l, now), delay: d.delayAt(w, l, now), q: &wire.LaunchRequest{
		Entry:          d.self,
		Agent:          l.agent,
		NotAfterMillis: min(l.sessionMillis, l.agentMillis(now+launchValidity)),
		Service:        w.Service,
		Worker:         l.word.GetId(),
		Spec:           w.Spec,
		Priority:       w.Kind.GetPriority(),
		Epoch:          w.durable.ownerEpoch(),
	}}
}

// delayAt returns how long the launch is deferred in favour of other entries'
// jobs.
func (d *Dispatcher) delayAt(w *workItem, l *link, now time.Duration) time.Duration {
	if now > l.contestedUntil {
		return 0
	}
	delay := d.cfg.YieldDelay * time.Duration(min(w.Kind.GetPriority(), 3))
	if w.late(now) && w.ran == 0 {
		delay += d.cfg.YieldDelay
	}
	return delay
}

// add adds a run to the launch.
func (o *launch) add(r *run) {
	o.runs = append(o.runs, r)
	o.q.Tasks = append(o.q.Tasks, &wire.LaunchTask{
		Run:            r.id(),
		Need:           r.need.Wire(),
		ExpectedMillis: o.d.expectedAt(r).Milliseconds(),
	})
}

// run sends the launch and processes the reply. It is never sent twice: a
// delayed copy could be accepted after the other one was refused.
func (o *launch) run() {
	sleep(o.d.ctx, o.delay)
	ctx, cancel := context.WithTimeout(o.d.ctx, launchTimeout)
	defer cancel()
	reply, err := o.runner.Launch(ctx, o.q)
	o.d.launched(o, reply, err)
}

// unsettled reports whether a launch with this error may still be carried
// out.
func unsettled(err error) bool {
	return err != nil && !notSent(err) && !refused(err)
}

// notSent reports whether no connection was made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refused reports whether the agent has rejected the call as a whole.
func refused(err error) bool {
	var e twirp.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code() == twirp.FailedPrecondition || e.Code() == twirp.InvalidArgument
}

// launched processes the reply or error of a launch.
func (d *Dispatcher) launched(o *launch, reply *wire.LaunchReply, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	switch {
	case unsettled(err) || err == nil && len(reply.GetResults()) != len(o.runs):
		d.launchUnsettled(o, err, now)
	case err != nil:
		d.launchRefused(o, err, now)
	default:
		d.launchAnswered(o, reply, now)
	}
	d.place(now)
}

// launchUnsettled halts runs that may or may not start.
func (d *Dispatcher) launchUnsettled(o *launch, err error, now time.Duration) {
	o.link.dropConnections()
	o.link.pausedUntil = now + unreachablePause
	d.logLaunchUnanswered(o, err)
	for _, r := range o.open() {
		d.unreserve(r)
		d.halt(r, reasonNoReply, now)
	}
}

// launchRefused places the tasks of a launch again that was rejected as a
// whole or not sent.
func (d *Dispatcher) launchRefused(o *launch, err error, now time.Duration) {
	o.link.pausedUntil = now + unreachablePause
	if notSent(err) {
		o.link.dropConnections()
	}
	for _, r := range o.open() {
		d.retryTask(r, reasonNotSent, err.Error(), now)
	}
}

// launchAnswered processes the result for each run.
func (d *Dispatcher) launchAnswered(o *launch, reply *wire.LaunchReply, now time.Duration) {
	if wire.Same(o.q.GetAgent(), o.link.agent) {
		o.link.updateState(reply.GetWorker(), now)
	}
	var taken []*run
	for i, r := range o.runs {
		result := reply.GetResults()[i]
		switch {
		case o.link.runs[r.key()] != r: // its end was reported first, or the agent has restarted
		case result.GetAccepted():
			taken = append(taken, r)
			d.started(r, now)
		default:
			d.refusedRun(r, result.GetReason(), now)
		}
	}
	d.logPlaced(o, taken)
}

// started records that an agent has accepted a run.
func (d *Dispatcher) started(r *run, now time.Duration) {
	d.unreserve(r)
	w := r.workItem
	r.setRan(true)
	d.durableJobs.recordStart(w)
	if w.startedAt == 0 {
		w.startedAt = now
		d.recordDelay(w, now)
		d.metrics.waited.RecordDuration(now - w.receivedAt)
	}
}

// refusedRun places a task again whose run an agent refused.
func (d *Dispatcher) refusedRun(r *run, reason string, now time.Duration) {
	l := r.link
	d.metrics.refusal("agent." + reason)
	l.contestedUntil = now + contestedDuration
	if r.need.Fits(l.room()) {
		l.pausedUntil = now + refusedPause
	}
	d.retryTask(r, causeRefused, reason, now)
}

// open returns the runs of the launch that are not settled.
func (o *launch) open() []*run {
	var open []*run
	for _, r := range o.runs {
		if o.link.runs[r.key()] == r {
			open = append(open, r)
		}
	}
	return open
}
