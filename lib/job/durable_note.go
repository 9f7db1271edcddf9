package job

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const (
	noteTimeout = 2 * time.Second
	// startNoteInterval is how long the start of a job may stay unstored.
	startNoteInterval = 250 * time.Millisecond
	// gatherInterval is how long the end of a run waits to be batched with
	// others, so that a job's end needn't wait for a call in flight. The end of
	// a whole job is sent at once.
	gatherInterval = 15 * time.Millisecond
	// maxNotes bounds the jobs in one call.
	maxNotes      = 256
	settleTimeout = 150 * time.Millisecond
)

// noteSender stores the progress of jobs, with one call in flight.
type noteSender struct{ k *DurableManager }

// batch is the content of one call.
type batch struct {
	q     *wire.NoteRequest
	works []*workItem
	ends  [][]*unstoredEnd
}

func (n *noteSender) loop(ctx context.Context) {
	tick := time.NewTicker(startNoteInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.k.last:
		case <-n.k.urgent:
			n.gather(ctx)
		case <-tick.C:
			n.k.flushStarts()
		}
		for n.send(ctx) {
		}
	}
}

// gather waits until a batch is due.
func (n *noteSender) gather(ctx context.Context) {
	timer := time.NewTimer(gatherInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.k.last:
	case <-timer.C:
	}
}

// send stores one batch, and reports whether there was one.
func (n *noteSender) send(ctx context.Context) bool {
	b := n.k.gather()
	if len(b.works) == 0 || ctx.Err() != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	reply, err := n.k.store.Note(call, b.q)
	if err != nil || len(reply.GetResults()) != len(b.works) {
		n.k.unanswered("note", len(b.works), err)
		n.k.requeue(b)
		sleep(ctx, backoff())
		return true
	}
	for _, settle := range n.k.applyNoteReply(b, reply) {
		n.k.d.calls.Go(settle.run)
	}
	return true
}

// gather collects the next batch.
func (k *DurableManager) gather() *batch {
	d := k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &batch{q: &wire.NoteRequest{Owner: k.owner}}
	for len(k.notes) > 0 && len(b.works) < maxNotes {
		w := k.notes[0]
		k.notes = k.notes[1:]
		durable := w.durable
		if durable.closed {
			continue
		}
		note := &wire.JobNote{Id: w.ID, Epoch: durable.epoch, State: durable.state}
		for name := range durable.dirty {
			note.Tasks = append(note.Tasks, proto.Clone(durable.records[name]).(*wire.TaskRecord))
		}
		clear(durable.dirty)
		b.q.Notes = append(b.q.Notes, note)
		b.works = append(b.works, w)
		b.ends = append(b.ends, durable.ends)
		durable.ends = nil
		durable.changed = false
	}
	return b
}

// requeue schedules a batch to be stored again.
func (k *DurableManager) requeue(b *batch) {
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	for i, w := range b.works {
		w.durable.ends = append(b.ends[i], w.durable.ends...)
		for _, task := range b.q.GetNotes()[i].GetTasks() {
			w.durable.dirty[task.GetTask()] = true
		}
		if w.durable.closed {
			k.release(w)
			continue
		}
		k.change(w)
	}
}

// release releases the ends of a job that was closed while they were being
// stored: at once if the job has ended, otherwise after lostEndRetention.
func (k *DurableManager) release(w *workItem) {
	for _, end := range w.durable.ends {
		end.until = k.d.clock.Now() + lostEndRetention
		if k.hasEnded(w.ID) {
			end.release()
		}
	}
}

// applyNoteReply processes the store's results for a batch, and returns the
// calls that tell the agents which ends are stored.
func (k *DurableManager) applyNoteReply(b *batch, reply *wire.NoteReply) map[*link]*settler {
	d := k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	settlers := map[*link]*settler{}
	for i, w := range b.works {
		result := reply.GetResults()[i]
		switch {
		case w.durable.closed && !result.GetStored():
			w.durable.ends = append(w.durable.ends, b.ends[i]...)
			k.release(w)
			continue
		case result.GetState() == wire.JobState_JOB_STATE_CANCELLED:
			k.applyCancel(w)
		case !result.GetStored():
			w.durable.ends = append(b.ends[i], w.durable.ends...)
			k.relinquish(w, reasonNotOwner)
			continue
		}
		for _, end := range b.ends[i] {
			end.release()
			settlers[end.link] = nil
		}
		if isFinal(b.q.GetNotes()[i].GetState()) && w.durable.isOpen() {
			k.close(w)
			d.removeIfSettled(w)
		}
	}
	for l := range settlers {
		settlers[l] = &settler{l.runner, &wire.SettleRequest{Entry: d.self, Agent: l.agent, EndsSeen: l.endsStored()}, d.ctx}
	}
	return settlers
}

// isFinal reports whether a job never leaves this state.
func isFinal(state wire.JobState) bool { return state >= wire.JobState_JOB_STATE_COMPLETED }

// settler tells an agent which ends are stored. If the call is lost, the next
// Watch tells it.
type settler struct {
	runner wire.Runner
	q      *wire.SettleRequest
	ctx    context.Context
}

func (s *settler) run() {
	ctx, cancel := context.WithTimeout(s.ctx, settleTimeout)
	defer cancel()
	_, _ = s.runner.Settle(ctx, s.q)
}

// change schedules the job's state to be stored with the next batch.
func (k *DurableManager) change(w *workItem) {
	if !w.durable.changed {
		w.durable.changed = true
		k.notes = append(k.notes, w)
	}
}

// wake wakes the noteSender.
func wake(noter chan struct{}) {
	select {
	case noter <- struct{}{}:
	default:
	}
}

// recordStart schedules the start of a job to be stored.
func (k *DurableManager) recordStart(w *workItem) {
	if k == nil || !w.durable.isOpen() || w.durable.state >= wire.JobState_JOB_STATE_RUNNING {
		return
	}
	w.durable.state = wire.JobState_JOB_STATE_RUNNING
	k.begun = append(k.begun, w)
}

// flushStarts schedules the starts that are older than startNoteInterval to be
// stored, unless the jobs have ended.
func (k *DurableManager) flushStarts() {
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	now := k.d.clock.Now()
	k.begun = slices.DeleteFunc(k.begun, func(w *workItem) bool {
		old := now-w.startedAt > startNoteInterval
		if old && w.durable.isOpen() {
			k.change(w)
		}
		return old || !w.durable.isOpen()
	})
}

// recordJobEnd schedules the final state of a job to be stored.
func (k *DurableManager) recordJobEnd(w *workItem) {
	if k == nil || !w.durable.isOpen() {
		return
	}
	w.durable.state = wire.JobState_JOB_STATE_FAILED
	if w.outcome.State == Complete {
		w.durable.state = wire.JobState_JOB_STATE_COMPLETED
	}
	k.change(w)
	wake(k.last)
}

// recordRunEnd records the end of a durable job's run. It returns r or, if r
// is nil, the run of an earlier incarnation of the agent that ended; nil if
// there is none.
func (k *DurableManager) recordRunEnd(l *link, end *wire.RunEnd, r *run) *run {
	if k == nil || !mustStore(end.GetHow()) {
		return r
	}
	id := jobOf(end.GetRun().GetTask())
	w := k.d.jobs[id]
	if w == nil || !w.durable.isOpen() {
		if !k.hasEnded(id) {
			l.unstored = append(l.unstored, &unstoredEnd{link: l, number: end.GetNumber(), until: k.d.clock.Now() + lostEndRetention})
		}
		return r
	}
	if isFinal(w.durable.state) {
		return r
	}
	one := &unstoredEnd{link: l, number: end.GetNumber()}
	l.unstored = append(l.unstored, one)
	w.durable.ends = append(w.durable.ends, one)
	w.durable.applyEnd(end)
	k.change(w)
	wake(k.urgent)
	if r == nil {
		r = l.removeOrphan(end.GetRun().GetTask())
	}
	if r == nil {
		k.d.apply(w)
	}
	return r
}

// mustStore reports whether an end has to be stored.
func mustStore(how wire.RunHow) bool {
	return how == wire.RunHow_RUN_HOW_DONE || how == wire.RunHow_RUN_HOW_FAILED
}
