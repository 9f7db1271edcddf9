package job

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const (
	// noteTimeout bounds one Note call.
	noteTimeout = 2 * time.Second
	// startNoteInterval is how long the start of a job may stay unstored.
	startNoteInterval = 250 * time.Millisecond
	// batchDelay is how long the end of a run waits to be batched with others.
	// As only one call is in flight, fewer calls make it less likely that the
	// end of a job, which is sent at once, waits for one.
	batchDelay = 15 * time.Millisecond
	// maxNotes bounds the jobs in one Note call.
	maxNotes = 256
	// settleTimeout bounds one Settle call.
	settleTimeout = 150 * time.Millisecond
)

// noteSender stores the progress of jobs by Note calls, one at a time.
type noteSender struct{ m *DurableManager }

// batch is the content of one Note call: the request, its jobs, and the ends of
// each job that it stores.
type batch struct {
	q    *wire.NoteRequest
	jobs []*activeJob
	ends [][]*unstoredEnd
}

func (n *noteSender) loop(ctx context.Context) {
	tick := time.NewTicker(startNoteInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.m.jobEnded:
		case <-n.m.runEnded:
			n.awaitBatch(ctx)
		case <-tick.C:
			n.m.flushStarts()
		}
		for n.send(ctx) {
		}
	}
}

// awaitBatch waits until batchDelay has passed or a job has ended.
func (n *noteSender) awaitBatch(ctx context.Context) {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.m.jobEnded:
	case <-timer.C:
	}
}

// send stores one batch, and reports whether there was one.
func (n *noteSender) send(ctx context.Context) bool {
	b := n.m.nextBatch()
	if len(b.jobs) == 0 || ctx.Err() != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	reply, err := n.m.store.Note(call, b.q)
	if err != nil || len(reply.GetResults()) != len(b.jobs) {
		n.m.storeUnanswered("note", len(b.jobs), err)
		n.m.requeue(b)
		sleep(ctx, backoff(longestBackoff))
		return true
	}
	for _, settle := range n.m.applyNoteReply(b, reply) {
		n.m.d.calls.Go(settle.run)
	}
	return true
}

// nextBatch collects the next batch; it is empty if there is nothing to store.
func (m *DurableManager) nextBatch() *batch {
	d := m.d
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &batch{q: &wire.NoteRequest{Owner: m.owner}}
	for len(m.storeQueue) > 0 && len(b.jobs) < maxNotes {
		job := m.storeQueue[0]
		m.storeQueue = m.storeQueue[1:]
		durable := job.durable
		if durable.closed {
			continue
		}
		note := &wire.JobNote{Id: job.ID, Epoch: durable.epoch, State: durable.state}
		for name := range durable.dirty {
			note.Tasks = append(note.Tasks, proto.Clone(durable.records[name]).(*wire.TaskRecord))
		}
		clear(durable.dirty)
		b.q.Notes = append(b.q.Notes, note)
		b.jobs = append(b.jobs, job)
		b.ends = append(b.ends, durable.ends)
		durable.ends = nil
		durable.scheduled = false
	}
	return b
}

// requeue schedules a batch to be stored again.
func (m *DurableManager) requeue(b *batch) {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	for i, job := range b.jobs {
		job.durable.ends = append(b.ends[i], job.durable.ends...)
		for _, task := range b.q.GetNotes()[i].GetTasks() {
			job.durable.dirty[task.GetTask()] = true
		}
		if job.durable.closed {
			m.release(job)
			continue
		}
		m.scheduleStore(job)
	}
}

// release releases the ends of a job that was closed while they were being
// stored: at once if the job has ended, otherwise after
// relinquishedEndRetention.
func (m *DurableManager) release(job *activeJob) {
	for _, end := range job.durable.ends {
		end.releaseAt = m.d.clock.Now() + relinquishedEndRetention
		if m.hasEnded(job.ID) {
			end.release()
		}
	}
}

// applyNoteReply processes the store's results for a batch, and returns the
// calls that tell the agents which ends are stored.
func (m *DurableManager) applyNoteReply(b *batch, reply *wire.NoteReply) map[*link]*settleCall {
	d := m.d
	d.mu.Lock()
	defer d.mu.Unlock()
	settleCalls := map[*link]*settleCall{}
	for i, job := range b.jobs {
		result := reply.GetResults()[i]
		switch {
		case job.durable.closed && !result.GetStored():
			job.durable.ends = append(job.durable.ends, b.ends[i]...)
			m.release(job)
			continue
		case result.GetState() == wire.JobState_JOB_STATE_CANCELLED:
			m.applyCancel(job)
		case !result.GetStored():
			job.durable.ends = append(b.ends[i], job.durable.ends...)
			m.relinquish(job, reasonNotOwner)
			continue
		}
		for _, end := range b.ends[i] {
			end.release()
			settleCalls[end.link] = nil
		}
		if isFinal(b.q.GetNotes()[i].GetState()) && job.durable.isOpen() {
			m.close(job)
			d.removeIfSettled(job)
		}
	}
	for l := range settleCalls {
		settleCalls[l] = &settleCall{l.runner, &wire.SettleRequest{Entry: d.self, Agent: l.agent, EndsSeen: l.endsStored()}, d.ctx}
	}
	return settleCalls
}

// isFinal reports whether a job never leaves this state.
func isFinal(state wire.JobState) bool { return state >= wire.JobState_JOB_STATE_COMPLETED }

// settleCall is a Settle call, which tells an agent which ends are stored. If
// it is lost, the next Watch tells the agent.
type settleCall struct {
	runner wire.Runner
	q      *wire.SettleRequest
	ctx    context.Context
}

func (s *settleCall) run() {
	ctx, cancel := context.WithTimeout(s.ctx, settleTimeout)
	defer cancel()
	_, _ = s.runner.Settle(ctx, s.q)
}

// scheduleStore schedules the job's state to be stored with the next batch.
func (m *DurableManager) scheduleStore(job *activeJob) {
	if !job.durable.scheduled {
		job.durable.scheduled = true
		m.storeQueue = append(m.storeQueue, job)
	}
}

// wake wakes the noteSender, which receives from the channel; wake never
// blocks.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// recordStart records the start of a job, to be stored by flushStarts.
func (m *DurableManager) recordStart(job *activeJob) {
	if m == nil || !job.durable.isOpen() || job.durable.state >= wire.JobState_JOB_STATE_RUNNING {
		return
	}
	job.durable.state = wire.JobState_JOB_STATE_RUNNING
	m.unstoredStarts = append(m.unstoredStarts, job)
}

// flushStarts schedules the starts that are older than startNoteInterval to be
// stored, unless the jobs have ended.
func (m *DurableManager) flushStarts() {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	now := m.d.clock.Now()
	m.unstoredStarts = slices.DeleteFunc(m.unstoredStarts, func(job *activeJob) bool {
		old := now-job.startedAt > startNoteInterval
		if old && job.durable.isOpen() {
			m.scheduleStore(job)
		}
		return old || !job.durable.isOpen()
	})
}

// recordJobEnd schedules the final state of a job to be stored.
func (m *DurableManager) recordJobEnd(job *activeJob) {
	if m == nil || !job.durable.isOpen() {
		return
	}
	job.durable.state = wire.JobState_JOB_STATE_FAILED
	if job.outcome.State == Complete {
		job.durable.state = wire.JobState_JOB_STATE_COMPLETED
	}
	m.scheduleStore(job)
	wake(m.jobEnded)
}

// recordRunEnd schedules the end of a durable job's run to be stored, if it has
// to be. It returns the run that ended: r or, if r is nil, the task's run under
// an earlier incarnation of the agent; nil if there is none.
func (m *DurableManager) recordRunEnd(l *link, end *wire.RunEnd, r *run) *run {
	if m == nil || !mustStore(end.GetHow()) {
		return r
	}
	id := jobID(end.GetRun().GetTask())
	job := m.d.jobs[id]
	if job == nil || !job.durable.isOpen() {
		if !m.hasEnded(id) {
			l.unstored = append(l.unstored, &unstoredEnd{link: l, number: end.GetNumber(), releaseAt: m.d.clock.Now() + relinquishedEndRetention})
		}
		return r
	}
	if isFinal(job.durable.state) {
		return r
	}
	one := &unstoredEnd{link: l, number: end.GetNumber()}
	l.unstored = append(l.unstored, one)
	job.durable.ends = append(job.durable.ends, one)
	job.durable.applyEnd(end)
	m.scheduleStore(job)
	wake(m.runEnded)
	if r == nil {
		r = l.removeOrphan(end.GetRun().GetTask())
	}
	if r == nil {
		m.d.applyRecords(job)
	}
	return r
}

// mustStore reports whether an end has to be stored.
func mustStore(how wire.RunHow) bool {
	return how == wire.RunHow_RUN_HOW_DONE || how == wire.RunHow_RUN_HOW_FAILED
}
