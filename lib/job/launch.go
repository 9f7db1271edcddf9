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
	// launchLife is how long after its sending a launch may be carried out.
	launchLife = 300 * time.Millisecond
	// refusedPause is how long an agent gets no launch after it refused one
	// that its word has room for.
	refusedPause = 25 * time.Millisecond
	// contestedFor is how long after a refusal for want of room an agent counts
	// as contested.
	contestedFor = 200 * time.Millisecond
	// unreachablePause is the same for one that could not be reached.
	unreachablePause = 100 * time.Millisecond
)

// launch is the order for the tasks of one job that go to one agent.
type launch struct {
	d      *Desk
	link   *link
	runner wire.Runner
	work   *work
	runs   []*run
	q      *wire.LaunchRequest
	// inputs are what the choice was made by, for the log.
	inputs []slog.Attr
	// delay is the time until the order is sent.
	delay time.Duration
}

// newLaunch returns an empty order.
func (d *Desk) newLaunch(w *work, l *link, now time.Duration) *launch {
	return &launch{d: d, link: l, runner: l.runner, work: w, inputs: d.inputsOf(w, l, now), delay: d.delayAt(w, l, now), q: &wire.LaunchRequest{
		Entry:          d.self,
		Agent:          l.agent,
		NotAfterMillis: min(l.sessionMillis, l.agentMillis(now+launchLife)),
		Service:        w.Service,
		Worker:         l.word.GetId(),
		Spec:           w.Spec,
		Priority:       w.Kind.GetPriority(),
	}}
}

// delayAt is how long the job lets those of other entries go first.
func (d *Desk) delayAt(w *work, l *link, now time.Duration) time.Duration {
	if now > l.contestedUntil {
		return 0
	}
	delay := d.cfg.Yield * time.Duration(min(w.Kind.GetPriority(), 3))
	if w.late(now) && w.ran == 0 {
		delay += d.cfg.Yield
	}
	return delay
}

// add puts a run into the order.
func (o *launch) add(r *run) {
	o.runs = append(o.runs, r)
	o.q.Tasks = append(o.q.Tasks, &wire.LaunchTask{
		Run:            r.id(),
		Need:           r.need.Wire(),
		ExpectedMillis: o.d.expectedAt(r).Milliseconds(),
	})
}

// run sends the order and takes in the reply. It is never sent twice: a copy
// that was held up could be accepted after the other one was refused.
func (o *launch) run() {
	sleep(o.d.ctx, o.delay)
	ctx, cancel := context.WithTimeout(o.d.ctx, launchTimeout)
	defer cancel()
	reply, err := o.runner.Launch(ctx, o.q)
	o.d.launched(o, reply, err)
}

// unsettled tells whether an order with this error may be carried out.
func unsettled(err error) bool {
	return err != nil && !notSent(err) && !refused(err)
}

// notSent tells whether no connection was made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refused tells whether the agent says that the order is void.
func refused(err error) bool {
	var e twirp.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Code() == twirp.FailedPrecondition || e.Code() == twirp.InvalidArgument
}

// launched takes in what became of an order.
func (d *Desk) launched(o *launch, reply *wire.LaunchReply, err error) {
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

// launchUnsettled halts runs of which it isn't known whether they start.
func (d *Desk) launchUnsettled(o *launch, err error, now time.Duration) {
	o.link.dropConnections()
	o.link.pausedUntil = now + unreachablePause
	d.noteLaunchUnanswered(o, err)
	for _, r := range o.open() {
		d.unreserve(r)
		d.halt(r, reasonNoReply, now)
	}
}

// launchRefused settles an order that is void as a whole.
func (d *Desk) launchRefused(o *launch, err error, now time.Duration) {
	o.link.pausedUntil = now + unreachablePause
	if notSent(err) {
		o.link.dropConnections()
	}
	for _, r := range o.open() {
		d.again(r, reasonNotSent, err.Error(), now)
	}
}

// launchAnswered takes in the answer for each run.
func (d *Desk) launchAnswered(o *launch, reply *wire.LaunchReply, now time.Duration) {
	if wire.Same(o.q.GetAgent(), o.link.agent) {
		o.link.takeWord(reply.GetWorker(), now)
	}
	var taken []*run
	for i, r := range o.runs {
		result := reply.GetResults()[i]
		switch {
		case o.link.runs[r.key()] != r: // its end came first, or the agent is a new one
		case result.GetAccepted():
			taken = append(taken, r)
			d.started(r, now)
		default:
			d.refusedRun(r, result.GetReason(), now)
		}
	}
	d.notePlaced(o, taken)
}

// started notes that an agent has accepted a run.
func (d *Desk) started(r *run, now time.Duration) {
	d.unreserve(r)
	w := r.work
	r.ranAtAll(true)
	if w.startedAt == 0 {
		w.startedAt = now
		d.noteDelay(w, now)
		d.metrics.waited.RecordDuration(now - w.receivedAt)
	}
}

// refusedRun places a run elsewhere that an agent refused.
func (d *Desk) refusedRun(r *run, reason string, now time.Duration) {
	l := r.link
	d.metrics.refusal("agent." + reason)
	l.contestedUntil = now + contestedFor
	if r.need.Fits(l.room()) {
		l.pausedUntil = now + refusedPause
	}
	d.again(r, causeRefused, reason, now)
}

// open returns the runs of the order that are not settled.
func (o *launch) open() []*run {
	var open []*run
	for _, r := range o.runs {
		if o.link.runs[r.key()] == r {
			open = append(open, r)
		}
	}
	return open
}
