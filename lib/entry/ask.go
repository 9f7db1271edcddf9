package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// askWait is how long an agent may hold a question about a running task.
	askWait = 2 * time.Second
	// askTimeout bounds one question.
	askTimeout = askWait + time.Second
	// firstAskDelay and lastAskDelay bound the time between questions.
	firstAskDelay = 20 * time.Millisecond
	lastAskDelay  = time.Second
)

// lost asks the agent what became of a start whose reply did not come. The
// task starts nowhere else unless the agent knows that it did not start and
// bars it from starting.
func (d *dispatcher) lost(s *start) {
	d.mu.Lock()
	d.scope.Counter("lost_contacts").Inc(1)
	d.takeBack(s, nil)
	s.t.server.agent.doubt = true
	d.mu.Unlock()
	status := s.ask()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave(s.t)
	switch status.GetState() {
	case wire.TaskState_TASK_STATE_UNSPECIFIED:
		d.fail(s.t.run, reasonLost)
	default:
		d.judge(s.t, &wire.StartReply{State: status.GetState(), Result: status.GetResult(), Reason: reasonOr(status.GetReason(), "barred")})
	}
	d.proceed(s.t.run)
}

// ask repeats the question until it is answered, the agent is gone or the job
// has ended. It returns nil where there is no answer.
func (s *start) ask() *wire.TaskStatus {
	delay := firstAskDelay
	a := s.t.server.agent
	for a.alive.Err() == nil {
		if status := s.askOnce(); status != nil && status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
			return status
		}
		select {
		case <-a.alive.Done():
		case <-s.t.run.done:
			return nil
		case <-time.After(delay):
		}
		delay = min(2*delay, lastAskDelay)
	}
	return nil
}

func (s *start) askOnce() *wire.TaskStatus {
	a := s.t.server.agent
	ctx, cancel := context.WithTimeout(a.alive, askTimeout)
	defer cancel()
	reply, err := a.client.Ask(ctx, &wire.AskRequest{
		Job:        s.t.run.key,
		Tasks:      []uint32{s.t.number},
		Agent:      a.incarnation,
		WaitMillis: askWait.Milliseconds(),
		Bar:        true,
	})
	if err != nil {
		return nil
	}
	for _, status := range reply.GetTasks() {
		if status.GetTask() == s.t.number && status.GetState() != wire.TaskState_TASK_STATE_UNSPECIFIED {
			return status
		}
	}
	return nil
}
