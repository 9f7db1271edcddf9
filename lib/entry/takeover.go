package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// fencePatience is how long an agent may leave a fence unanswered; after
	// that it proves nothing.
	fencePatience = 8 * time.Second
	// fenceTimeout bounds one call.
	fenceTimeout = 2 * time.Second
	// fencesAtOnce bounds the calls on their way for one takeover.
	fencesAtOnce = 64
)

// takeOver brings the job of a lost entry to its end: tasks that are accounted
// for are not started again, and those that provably never started are.
func (c *coordinator) takeOver(ctx context.Context, record *wire.Record) (*wire.Outcome, bool) {
	// A late refusal under the claim before must not meet the takeover.
	c.claimed = c.e.ledger.NewClaim()
	reply, err := c.e.ledger.Takeover(context.WithoutCancel(ctx), c.job.key, c.claimed)
	switch {
	case err != nil:
		return failedOutcome(reasonUnknown), false
	case reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE:
		// The primary has yet to hear that the holder is dead.
		c.pause()
		return c.follow(ctx, record)
	case !reply.GetGranted():
		return c.follow(ctx, reply.GetRecord())
	}
	c.count("takeovers")
	c.e.log.Info("Taking a job over.", "key", c.job.key, "from", record.GetHolder().GetId())
	record = reply.GetRecord()
	c.digest, c.lasting = record.GetDigest(), !c.e.idempotent(record.GetSpec())
	outcome := c.resume(ctx, record)
	return c.finish(ctx, outcome, record.GetHeldAtMillis())
}

// resume finds out what became of each task and returns the job's outcome.
func (c *coordinator) resume(ctx context.Context, record *wire.Record) *wire.Outcome {
	f := &fence{e: c.e, record: record, found: map[uint32]*located{}}
	f.proof = f.raise(ctx)
	spec := record.GetSpec()
	if spec == nil {
		return failedOutcome("submissionNotKept")
	}
	if outcome := f.verdict(len(spec.GetPayloads())); outcome != nil {
		f.cancelRunning(ctx)
		return outcome
	}
	f.awaitRunning(ctx)
	if outcome := f.verdict(len(spec.GetPayloads())); outcome != nil {
		f.cancelRunning(ctx)
		return outcome
	}
	return c.e.dispatcher.Run(ctx, Job{
		Key: record.GetKey(), Spec: spec, Settled: f.settled(), Deadline: c.e.resumedDeadline(record),
	})
}

// resumedDeadline is the deadline that the job had from the start.
func (e *Entry) resumedDeadline(record *wire.Record) time.Time {
	spec := record.GetSpec()
	kind := kindIn(e.follower.Directory(), spec.GetService(), spec.GetKind())
	return deadlineOf(Job{Spec: spec}, kind, time.UnixMilli(record.GetHeldAtMillis()))
}

// located is the state of a task at an agent.
type located struct {
	agent  *wire.Member
	status *wire.TaskStatus
}

// fence keeps the former coordinators of a job from starting more of its
// tasks, and gathers what they have started.
type fence struct {
	e      *Entry
	record *wire.Record

	mu    sync.Mutex
	found map[uint32]*located
	// unproved counts agents that gave no answer.
	unproved int
	// proof is set where every agent that can have started a task answered.
	proof bool
}

// raise fences the former holders at every agent. It returns true where every
// agent that can have started a task has answered, so that what was not found
// never started and can't start.
func (f *fence) raise(ctx context.Context) bool {
	agents, all := f.e.census.since(time.UnixMilli(f.record.GetHeldAtMillis()))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fencePatience)
	defer cancel()
	var group sync.WaitGroup
	places := make(chan struct{}, fencesAtOnce)
	for _, agent := range agents {
		places <- struct{}{}
		group.Go(func() {
			f.runAt(ctx, agent)
			<-places
		})
	}
	group.Wait()
	return all && f.unproved == 0
}

// runAt fences the former holders at one agent.
func (f *fence) runAt(ctx context.Context, agent *wire.Member) {
	for _, holder := range f.record.GetFormer() {
		statuses, ok := f.ask(ctx, agent, holder)
		f.mu.Lock()
		if !ok {
			f.unproved++
		}
		for _, status := range statuses {
			f.put(agent, status)
		}
		f.mu.Unlock()
	}
}

// ask repeats one fence until it is answered or the agent is gone.
func (f *fence) ask(ctx context.Context, agent *wire.Member, holder *wire.Incarnation) ([]*wire.TaskStatus, bool) {
	client := wire.NewAgentProtobufClient("http://"+agent.GetAddress(), f.e.client)
	for ctx.Err() == nil && f.e.memberOf(agent.GetIncarnation()) != nil {
		attempt, cancel := context.WithTimeout(ctx, fenceTimeout)
		reply, err := client.Fence(attempt, &wire.FenceRequest{Entry: holder, Job: f.record.GetKey()})
		cancel()
		if err == nil {
			return reply.GetTasks(), reply.GetAgent().GetNumber() == agent.GetIncarnation().GetNumber()
		}
		f.e.metrics.Scope().Counter("fences_again").Inc(1)
		time.Sleep(lookInterval)
	}
	return nil, false
}

// put keeps the state of a task; one that is barred somewhere may still have
// started elsewhere.
func (f *fence) put(agent *wire.Member, status *wire.TaskStatus) {
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		return
	}
	f.found[status.GetTask()] = &located{agent: agent, status: status}
}

// verdict returns the outcome where it is clear without another start.
func (f *fence) verdict(tasks int) *wire.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Agents forget what ended long ago.
	proof := f.proof && remembered(time.UnixMilli(f.record.GetHeldAtMillis()), time.Now())
	results := make([][]byte, tasks)
	left := tasks
	for n := range uint32(tasks) {
		task := f.found[n]
		switch task.state() {
		case wire.TaskState_TASK_STATE_DONE:
			results[n] = task.status.GetResult()
			left--
		case wire.TaskState_TASK_STATE_FAILED:
			return failedOutcome(reasonOr(task.status.GetReason(), reasonFailed))
		case wire.TaskState_TASK_STATE_UNSPECIFIED:
			if !proof {
				return failedOutcome(reasonUnknown)
			}
		}
	}
	if left == 0 {
		return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_COMPLETE, Results: results}
	}
	return nil
}

func (l *located) state() wire.TaskState {
	if l == nil {
		return wire.TaskState_TASK_STATE_UNSPECIFIED
	}
	return l.status.GetState()
}

// awaitRunning waits until no task that was found runs any more.
func (f *fence) awaitRunning(ctx context.Context) {
	var group sync.WaitGroup
	for number, task := range f.running() {
		group.Go(func() { f.runAwait(ctx, number, task) })
	}
	group.Wait()
}

func (f *fence) runAwait(ctx context.Context, number uint32, task *located) {
	status := f.await(ctx, number, task)
	f.mu.Lock()
	defer f.mu.Unlock()
	if status.GetState() == wire.TaskState_TASK_STATE_NOT_STARTED {
		delete(f.found, number)
		return
	}
	f.found[number] = &located{agent: task.agent, status: status}
}

// await asks for a task until it has ended, its agent is gone, or the job was
// cancelled.
func (f *fence) await(ctx context.Context, number uint32, task *located) *wire.TaskStatus {
	client := wire.NewAgentProtobufClient("http://"+task.agent.GetAddress(), f.e.client)
	who := task.agent.GetIncarnation()
	for f.e.memberOf(who) != nil && ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, askTimeout)
		reply, err := client.Ask(attempt, &wire.AskRequest{
			Job: f.record.GetKey(), Tasks: []uint32{number}, Agent: who, WaitMillis: askWait.Milliseconds(), Bar: true,
		})
		cancel()
		for _, status := range reply.GetTasks() {
			if status.GetState() != wire.TaskState_TASK_STATE_RUNNING {
				return status
			}
		}
		if err != nil {
			time.Sleep(lookInterval)
		}
	}
	reason := reasonLost
	if ctx.Err() != nil {
		reason = reasonCancelled
	}
	return &wire.TaskStatus{Task: number, State: wire.TaskState_TASK_STATE_FAILED, Reason: reason}
}

func (f *fence) running() map[uint32]*located {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := map[uint32]*located{}
	for number, task := range f.found {
		if task.state() == wire.TaskState_TASK_STATE_RUNNING {
			found[number] = task
		}
	}
	return found
}

// cancelRunning stops what still runs of a job that has failed.
func (f *fence) cancelRunning(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	for number, task := range f.running() {
		client := wire.NewAgentProtobufClient("http://"+task.agent.GetAddress(), f.e.client)
		_, _ = client.Cancel(ctx, &wire.CancelRequest{
			Job: f.record.GetKey(), Tasks: []uint32{number}, Coordinator: f.e.follower.Member().GetIncarnation(),
		})
	}
}

// settled returns the tasks that must not start again.
func (f *fence) settled() []*wire.TaskStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*wire.TaskStatus
	for _, task := range f.found {
		found = append(found, task.status)
	}
	return found
}
