package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// fenceTimeout bounds the Fence calls of one takeover. Those without a reply
	// by then count as unanswered.
	fenceTimeout = 8 * time.Second
	// fenceCallTimeout bounds one Fence call.
	fenceCallTimeout = 2 * time.Second
	// maxConcurrentFences bounds the concurrent Fence calls of one takeover.
	maxConcurrentFences = 64
)

// takeOver takes over the job of a dead entry. It starts only tasks that
// provably never started before.
func (c *coordinator) takeOver(ctx context.Context, record *wire.Record) (*wire.Outcome, bool) {
	// A new claim ID, because a delayed refusal with the previous one must
	// not affect the takeover.
	c.claimID = c.e.ledger.NextClaim()
	reply, err := c.e.ledger.Takeover(context.WithoutCancel(ctx), c.job.key, c.claimID)
	switch {
	case err != nil:
		return failedOutcome(reasonUnknown), false
	case reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		// The primary of the key's shard has not learned yet that the holder is
		// dead.
		c.pause()
		return c.awaitOutcome(ctx, record)
	case !reply.GetGranted():
		return c.awaitOutcome(ctx, reply.GetRecord())
	}
	c.count("takeovers")
	c.e.log.Info("Taking over a job.", "key", c.job.key, "from", record.GetHolder().GetId())
	record = reply.GetRecord()
	c.digest, c.lastingRefusal = record.GetDigest(), !c.e.idempotent(record.GetSpec())
	outcome := c.resume(ctx, record)
	return c.recordOutcome(ctx, outcome, record.GetHeldAtMillis())
}

// resume determines the state of each task, runs those that have not started and
// returns the job's outcome.
func (c *coordinator) resume(ctx context.Context, record *wire.Record) *wire.Outcome {
	f := &fence{e: c.e, record: record, found: map[uint32]*foundTask{}}
	f.allAnswered = f.fenceAll(ctx)
	spec := record.GetSpec()
	if spec == nil {
		return failedOutcome("submissionNotKept")
	}
	if outcome := f.decidedOutcome(len(spec.GetPayloads())); outcome != nil {
		f.cancelRunning(ctx)
		return outcome
	}
	f.awaitRunning(ctx)
	if outcome := f.decidedOutcome(len(spec.GetPayloads())); outcome != nil {
		f.cancelRunning(ctx)
		return outcome
	}
	return c.e.dispatcher.Run(ctx, Job{
		Key: record.GetKey(), Spec: spec, Recovered: f.recovered(), Deadline: c.e.resumedDeadline(record),
	})
}

// resumedDeadline returns the original deadline of a job that is taken over.
func (e *Entry) resumedDeadline(record *wire.Record) time.Time {
	spec := record.GetSpec()
	kind := findKind(e.follower.Directory(), spec.GetService(), spec.GetKind())
	return deadlineOf(Job{Spec: spec}, kind, time.UnixMilli(record.GetHeldAtMillis()))
}

// foundTask is the state of a task at an agent.
type foundTask struct {
	agent  *wire.Member
	status *wire.TaskStatus
}

// fence prevents the former holders of a job's key from starting more tasks of
// the job, and collects the states of those they have started.
type fence struct {
	e      *Entry
	record *wire.Record

	mu sync.Mutex
	// found are the tasks that agents have a record of, by number.
	found map[uint32]*foundTask
	// unanswered counts the Fence calls that got no valid reply.
	unanswered int
	// allAnswered is set if every agent that may have started a task has
	// answered.
	allAnswered bool
}

// fenceAll fences the former holders at every agent. It returns true if every
// agent that may have started a task has answered. In that case, tasks that were
// not found have never started and cannot start any more.
func (f *fence) fenceAll(ctx context.Context) bool {
	agents, complete := f.e.agentHistory.agentsSince(time.UnixMilli(f.record.GetHeldAtMillis()))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentFences)
	for _, agent := range agents {
		semaphore <- struct{}{}
		group.Go(func() {
			f.fenceAgent(ctx, agent)
			<-semaphore
		})
	}
	group.Wait()
	return complete && f.unanswered == 0
}

// fenceAgent fences the former holders at one agent.
func (f *fence) fenceAgent(ctx context.Context, agent *wire.Member) {
	for _, holder := range f.record.GetFormer() {
		statuses, ok := f.fenceHolder(ctx, agent, holder)
		f.mu.Lock()
		if !ok {
			f.unanswered++
		}
		for _, status := range statuses {
			f.recordStatus(agent, status)
		}
		f.mu.Unlock()
	}
}

// fenceHolder repeats a Fence call until it is answered, the agent is gone or
// ctx ends.
func (f *fence) fenceHolder(ctx context.Context, agent *wire.Member, holder *wire.Incarnation) ([]*wire.TaskStatus, bool) {
	client := wire.NewAgentProtobufClient("http://"+agent.GetAddress(), f.e.client)
	for ctx.Err() == nil && f.e.memberOf(agent.GetIncarnation()) != nil {
		attempt, cancel := context.WithTimeout(ctx, fenceCallTimeout)
		reply, err := client.Fence(attempt, &wire.FenceRequest{Entry: holder, Job: f.record.GetKey()})
		cancel()
		if err == nil {
			return reply.GetTasks(), reply.GetAgent().GetNumber() == agent.GetIncarnation().GetNumber()
		}
		f.e.metrics.Scope().Counter("fences_again").Inc(1)
		time.Sleep(pollInterval)
	}
	return nil, false
}

// recordStatus stores the state of a task, unless it has not started at this
// agent: it may have started at another.
func (f *fence) recordStatus(agent *wire.Member, status *wire.TaskStatus) {
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		return
	}
	f.found[status.GetTask()] = &foundTask{agent: agent, status: status}
}

// decidedOutcome returns the job's outcome if the states that were found
// determine it, or nil if tasks have to start or are running.
func (f *fence) decidedOutcome(tasks int) *wire.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Agents delete their records of tasks some time after the tasks' end.
	allAnswered := f.allAnswered && withinRetention(time.UnixMilli(f.record.GetHeldAtMillis()), time.Now())
	results := make([][]byte, tasks)
	unfinished := tasks
	for n := range uint32(tasks) {
		task := f.found[n]
		switch task.state() {
		case wire.TaskState_TASK_STATE_DONE:
			results[n] = task.status.GetResult()
			unfinished--
		case wire.TaskState_TASK_STATE_FAILED:
			return failedOutcome(reasonOr(task.status.GetReason(), reasonFailed))
		case wire.TaskState_TASK_STATE_UNSPECIFIED:
			if !allAnswered {
				return failedOutcome(reasonUnknown)
			}
		}
	}
	if unfinished == 0 {
		return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_COMPLETE, Results: results}
	}
	return nil
}

func (t *foundTask) state() wire.TaskState {
	if t == nil {
		return wire.TaskState_TASK_STATE_UNSPECIFIED
	}
	return t.status.GetState()
}

// awaitRunning waits until none of the tasks that were found is running.
func (f *fence) awaitRunning(ctx context.Context) {
	var group sync.WaitGroup
	for number, task := range f.runningTasks() {
		group.Go(func() { f.awaitTask(ctx, number, task) })
	}
	group.Wait()
}

// awaitTask waits until a task has ended and stores its state.
func (f *fence) awaitTask(ctx context.Context, number uint32, task *foundTask) {
	status := f.pollTask(ctx, number, task)
	f.mu.Lock()
	defer f.mu.Unlock()
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		delete(f.found, number)
		return
	}
	f.found[number] = &foundTask{agent: task.agent, status: status}
}

// pollTask polls a task until it has ended, its agent is gone or ctx is
// cancelled.
func (f *fence) pollTask(ctx context.Context, number uint32, task *foundTask) *wire.TaskStatus {
	client := wire.NewAgentProtobufClient("http://"+task.agent.GetAddress(), f.e.client)
	who := task.agent.GetIncarnation()
	for f.e.memberOf(who) != nil && ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, askTimeout)
		reply, err := client.Ask(attempt, &wire.AskRequest{
			Job: f.record.GetKey(), Tasks: []uint32{number}, Agent: who, WaitMillis: askLongPoll.Milliseconds(), Bar: true,
		})
		cancel()
		for _, status := range reply.GetTasks() {
			if status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
				return status
			}
		}
		if err != nil {
			time.Sleep(pollInterval)
		}
	}
	reason := reasonLost
	if ctx.Err() != nil {
		reason = reasonCancelled
	}
	return &wire.TaskStatus{Task: number, State: wire.TaskState_TASK_STATE_FAILED, Reason: reason}
}

func (f *fence) runningTasks() map[uint32]*foundTask {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := map[uint32]*foundTask{}
	for number, task := range f.found {
		if task.state() == wire.TaskState_TASK_STATE_RUNNING {
			found[number] = task
		}
	}
	return found
}

// cancelRunning cancels the tasks of an ended job that still run.
func (f *fence) cancelRunning(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	for number, task := range f.runningTasks() {
		client := wire.NewAgentProtobufClient("http://"+task.agent.GetAddress(), f.e.client)
		_, _ = client.Cancel(ctx, &wire.CancelRequest{
			Job: f.record.GetKey(), Tasks: []uint32{number}, Coordinator: f.e.follower.Member().GetIncarnation(),
		})
	}
}

// recovered returns the states of the tasks that were found, which must not start
// again.
func (f *fence) recovered() []*wire.TaskStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*wire.TaskStatus
	for _, task := range f.found {
		found = append(found, task.status)
	}
	return found
}
