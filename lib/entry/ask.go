package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// askLongPoll is how long an agent may delay its reply to Ask while the task
	// runs.
	askLongPoll = 2 * time.Second
	// askTimeout bounds one Ask call.
	askTimeout = askLongPoll + time.Second
	// minAskDelay and maxAskDelay are the bounds of the exponential backoff
	// between Ask calls.
	minAskDelay = 20 * time.Millisecond
	maxAskDelay = time.Second
)

// handleLostReply asks the agent for the state of a task after the reply to its
// start request was lost. The task is started elsewhere only if the agent
// confirms that it has neither started the task nor will start it, even if the
// request still arrives (the agent bars the task).
func (d *dispatcher) handleLostReply(s *start) {
	d.mu.Lock()
	d.scope.Counter("lost_contacts").Inc(1)
	d.reclaimToken(s, nil)
	d.mu.Unlock()
	reply := s.askUntilEnded()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endStart(s.t)
	d.handleResult(s.t, reply)
	d.dispatchAfterEnd(s.t.run)
}

// askUntilEnded polls the agent until the task has ended, the agent is gone or
// the job has ended. In the latter two cases the state of the reply is
// unspecified.
func (s *start) askUntilEnded() *wire.StartReply {
	delay := minAskDelay
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
		delay = min(2*delay, maxAskDelay)
	}
	return &wire.StartReply{}
}

// askOnce returns the state of the task at the agent. If the call fails, the
// task counts as running.
func (s *start) askOnce() *wire.StartReply {
	a := s.t.server.agent
	running := &wire.StartReply{State: wire.TaskState_TASK_STATE_RUNNING}
	ctx, cancel := context.WithTimeout(a.alive, askTimeout)
	defer cancel()
	reply, err := a.client.Ask(ctx, &wire.AskRequest{
		Job:        s.t.run.key,
		Tasks:      []uint32{s.t.number},
		Agent:      a.incarnation,
		WaitMillis: askLongPoll.Milliseconds(),
		Bar:        true,
	})
	if err != nil {
		return running
	}
	for _, status := range reply.GetTasks() {
		if status.GetTask() == s.t.number && status.GetState() != wire.TaskState_TASK_STATE_UNSPECIFIED {
			state := provenState(status, s.t.startedAt, time.Now())
			return &wire.StartReply{State: state, Reason: status.GetReason(), Result: status.GetResult()}
		}
	}
	return running
}
