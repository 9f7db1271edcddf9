package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// replyGrace is how long after the deadline a reply may still bring the
	// token back.
	replyGrace = 5 * time.Second
	// retryDelay holds retries back that are above the budget.
	retryDelay = 250 * time.Millisecond
)

// start is one start of a task on its way.
type start struct {
	d *dispatcher
	t *task
	// h is the token used; nil where the task queues at the worker.
	h *held
}

// start marks a task as started on a token and sends it off.
func (d *dispatcher) start(t *task, h *held, now time.Time) {
	t.server = h.server
	t.startedAt = now
	t.run.started[t.number] = t
	t.run.desk.running[t] = struct{}{}
	h.server.running[t] = struct{}{}
	t.run.team.account = t.run.team.account.WithStarted(t.expected.Seconds())
	d.budget = d.budget.WithStart()
	s := &start{d: d, t: t, h: h}
	d.work.Go(s.run)
}

func (s *start) run() {
	a := s.t.server.agent
	ctx, cancel := context.WithDeadline(a.alive, s.t.run.deadline.Add(replyGrace))
	defer cancel()
	reply, err := a.client.Start(ctx, s.request())
	switch {
	case err == nil:
		s.d.answered(s, reply)
	case neverSent(err):
		s.d.refused(s, "dialRefused")
	default:
		s.d.lost(s)
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

// answered takes the reply of an agent in.
func (d *dispatcher) answered(s *start, reply *wire.StartReply) {
	d.mu.Lock()
	d.takeBack(s, reply)
	d.mu.Unlock()
	if reply.GetState() == wire.TaskState_TASK_STATE_RUNNING {
		reply = s.ask()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave(s.t)
	d.judge(s.t, reply)
	d.proceed(s.t.run)
}

// judge draws the consequence of how a task ended.
func (d *dispatcher) judge(t *task, reply *wire.StartReply) {
	server := t.server
	switch reply.GetState() {
	case wire.TaskState_TASK_STATE_DONE:
		server.runs++
		server.health = server.health.WithSuccess()
		if reply.GetRunMicros() > 0 {
			t.run.desk.learn(t, time.Duration(reply.GetRunMicros())*time.Microsecond)
		}
		d.done(t, reply.GetResult())
	case wire.TaskState_TASK_STATE_NOT_STARTED:
		d.notStarted(t, reply.GetReason())
	case wire.TaskState_TASK_STATE_UNSPECIFIED:
		d.fail(t.run, reasonLost)
	default:
		d.failed(t, reasonOr(reply.GetReason(), reasonFailed))
	}
}

// notStarted has a task started elsewhere, or here again later.
func (d *dispatcher) notStarted(t *task, reason string) {
	now := time.Now()
	switch {
	case reason == reasonUnreachable:
		t.server.health = t.server.health.WithUnreachable(now)
	case barring(reason):
		t.bar(t.server.agent)
	case passing(reason):
		t.server.agent.suspect(now)
	}
	if d.barredEverywhere(t) {
		d.fail(t.run, reasonLost)
		return
	}
	d.retry(t, reason)
}

// failed ends a job for a failed task. A task that the agent has stopped says
// nothing of its server: its deadline passed.
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

// refused handles a start that never reached the agent.
func (d *dispatcher) refused(s *start, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave(s.t)
	d.takeBack(s, nil)
	s.t.server.agent.suspect(time.Now())
	d.retry(s.t, reason)
	d.proceed(s.t.run)
}

// retry queues a task again that did not start.
func (d *dispatcher) retry(t *task, reason string) {
	r := t.run
	if r.ended() {
		return
	}
	t.server = nil
	d.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
	var ok bool
	if d.budget, ok = d.budget.WithRetry(); ok {
		d.again(t)
		return
	}
	d.scope.Counter("retries_delayed").Inc(1)
	time.AfterFunc(retryDelay, func() { d.againLater(t) })
}

// againLater queues a task whose retry was above the budget.
func (d *dispatcher) againLater(t *task) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.run.ended() {
		return
	}
	d.again(t)
	d.dispatch(t.run.desk)
}

// leave ends the account of a started task.
func (d *dispatcher) leave(t *task) {
	r := t.run
	delete(r.desk.running, t)
	delete(r.started, t.number)
	if t.server != nil {
		delete(t.server.running, t)
	}
	r.team.account = r.team.account.WithEnded()
}

// neverSent tells whether a call failed before anything was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func reasonOr(reason, otherwise string) string {
	if reason == "" {
		return otherwise
	}
	return reason
}
