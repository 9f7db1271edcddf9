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
	d.mu.Unlock()
	reply := s.ask()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave(s.t)
	d.judge(s.t, reply)
	d.proceed(s.t.run)
}

// ask repeats the question until it is answered, the agent is gone or the job
// has ended. The state of the reply is unspecified where there is no answer.
func (s *start) ask() *wire.StartReply {
	delay := firstAskDelay
	a := s.t.server.agent
	for a.alive.Err() == nil {
		if reply := s.askOnce(); reply.GetState() != wire.TaskState_TASK_STATE_RUNNING {
			return reply
		}
		select {
		case <-a.alive.Done():
		case <-s.t.run.done:
			return &wire.StartReply{}
		case <-time.After(delay):
		}
		delay = min(2*delay, lastAskDelay)
	}
	return &wire.StartReply{}
}

// askOnce returns what the agent says of the task. It is running as long as
// there is no answer.
func (s *start) askOnce() *wire.StartReply {
	a := s.t.server.agent
	unknown := &wire.StartReply{State: wire.TaskState_TASK_STATE_RUNNING}
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
		return unknown
	}
	for _, status := range reply.GetTasks() {
		if status.GetTask() == s.t.number && status.GetState() != wire.TaskState_TASK_STATE_UNSPECIFIED {
			state := stateOf(status, s.t.startedAt, time.Now())
			return &wire.StartReply{State: state, Reason: status.GetReason(), Result: status.GetResult()}
		}
	}
	return unknown
}
