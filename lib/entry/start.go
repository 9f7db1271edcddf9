package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// replyGrace is how long after the job's deadline the reply to a start is
	// awaited, since it may return the token.
	replyGrace = 5 * time.Second
	// retryDelay is the delay of a retry when the retry budget is used up.
	retryDelay = 250 * time.Millisecond
)

// start is one attempt to run a task at an agent.
type start struct {
	d *dispatcher
	t *task
	// h is the token in use; nil if the worker queues the task.
	h *held
}

// start records that a task starts on a token and sends the request.
func (d *dispatcher) start(t *task, h *held, now time.Time) {
	t.server = h.server
	t.startedAt = now
	t.run.started[t.number] = t
	t.run.serviceState.running[t] = struct{}{}
	h.server.running[t] = struct{}{}
	t.run.team.account = t.run.team.account.WithStarted(t.expected.Seconds())
	d.budget = d.budget.WithStart()
	s := &start{d: d, t: t, h: h}
	d.work.Go(s.run)
}

// run sends the start request and handles the reply.
func (s *start) run() {
	a := s.t.server.agent
	ctx, cancel := context.WithDeadline(a.alive, s.t.run.deadline.Add(replyGrace))
	defer cancel()
	reply, err := a.client.Start(ctx, s.request())
	switch {
	case err == nil:
		s.d.handleReply(s, reply)
	case neverSent(err):
		s.d.handleNeverSent(s, "dialRefused")
	default:
		s.d.handleLostReply(s)
	}
}

func (s *start) request() *wire.StartRequest {
	r := s.t.run
	return &wire.StartRequest{
		Job:            r.key,
		Task:           s.t.number,
		Coordinator:    s.d.self,
		Agent:          s.t.server.agent.incarnation,
		Token:          s.number(),
		Service:        r.spec.GetService(),
		Kind:           r.spec.GetKind(),
		Payload:        r.spec.GetPayloads()[s.t.number],
		DeadlineMillis: max(time.Until(r.deadline).Milliseconds(), 1),
	}
}

func (s *start) number() uint64 {
	if s.h == nil {
		return 0
	}
	return s.h.token.GetNumber()
}

// handleReply processes an agent's reply to a start.
func (d *dispatcher) handleReply(s *start, reply *wire.StartReply) {
	d.mu.Lock()
	d.reclaimToken(s, reply)
	d.mu.Unlock()
	if reply.GetState() == wire.TaskState_TASK_STATE_RUNNING {
		reply = s.askUntilEnded()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endStart(s.t)
	d.handleResult(s.t, reply)
	d.dispatchAfterEnd(s.t.run)
}

// handleResult updates the task, its job and the server's statistics for the
// state that the agent has reported.
func (d *dispatcher) handleResult(t *task, reply *wire.StartReply) {
	server := t.server
	switch reply.GetState() {
	case wire.TaskState_TASK_STATE_DONE:
		server.succeeded++
		server.health = server.health.WithSuccess()
		if reply.GetRunMicros() > 0 {
			t.run.serviceState.learn(t, time.Duration(reply.GetRunMicros())*time.Microsecond)
		}
		d.addResult(t, reply.GetResult())
	case wire.TaskState_TASK_STATE_NOT_STARTED:
		d.handleNotStarted(t, reply.GetReason())
	case wire.TaskState_TASK_STATE_UNSPECIFIED:
		d.fail(t.run, reasonLost)
	default:
		d.failed(t, reasonOr(reply.GetReason(), reasonFailed))
	}
}

// handleNotStarted retries a task that the agent did not start, unless every
// agent has barred it.
func (d *dispatcher) handleNotStarted(t *task, reason string) {
	now := time.Now()
	switch {
	case reason == reasonUnreachable:
		t.server.health = t.server.health.WithUnreachable(now)
	case isBarredRefusal(reason):
		t.addBarred(t.server.agent)
	case isTransientRefusal(reason) || reason == wire.ReasonEvacuated:
		t.server.agent.suspect(now)
	}
	if d.barredByAllAgents(t) {
		d.fail(t.run, reasonLost)
		return
	}
	d.retry(t, reason)
}

// failed handles the failure of a task: it records the failure for the server and
// fails the job. If the agent has cancelled the task although the job has not
// ended, the deadline has passed; that does not count against the server.
func (d *dispatcher) failed(t *task, reason string) {
	if t.run.ended() {
		return
	}
	if reason == reasonCancelled {
		d.fail(t.run, reasonDeadline)
		return
	}
	t.server.failed++
	t.server.health = t.server.health.WithFailure(t.run.key, time.Now())
	d.fail(t.run, reason)
}

// handleNeverSent retries a task whose start request did not reach the agent.
func (d *dispatcher) handleNeverSent(s *start, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endStart(s.t)
	d.reclaimToken(s, nil)
	s.t.server.agent.suspect(time.Now())
	d.retry(s.t, reason)
	d.dispatchAfterEnd(s.t.run)
}

// retry queues a task that did not start, after a delay if the retry budget is
// used up.
func (d *dispatcher) retry(t *task, reason string) {
	r := t.run
	if r.ended() {
		return
	}
	t.server = nil
	d.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
	var ok bool
	if d.budget, ok = d.budget.WithRetry(); ok {
		d.requeue(t)
		return
	}
	d.scope.Counter("retries_delayed").Inc(1)
	time.AfterFunc(retryDelay, func() { d.requeueDelayed(t) })
}

// requeueDelayed queues a task whose retry was delayed.
func (d *dispatcher) requeueDelayed(t *task) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.run.ended() {
		return
	}
	d.requeue(t)
	d.dispatch(t.run.serviceState)
}

// endStart removes a task from the started ones of its job, service, server and
// team.
func (d *dispatcher) endStart(t *task) {
	r := t.run
	delete(r.serviceState.running, t)
	delete(r.started, t.number)
	if t.server != nil {
		delete(t.server.running, t)
	}
	r.team.account = r.team.account.WithEnded()
}

// neverSent reports whether a call failed to connect, before anything was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func reasonOr(reason, fallback string) string {
	if reason == "" {
		return fallback
	}
	return reason
}
