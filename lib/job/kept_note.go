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
	// lazyInterval is how long the start of a job may go unstored.
	lazyInterval = 250 * time.Millisecond
	// gatherInterval is how long an end is gathered that doesn't end its job, so
	// that the job's end needn't wait for a call that is in flight.
	gatherInterval = 15 * time.Millisecond
	// maxNotes bounds the jobs in one call.
	maxNotes      = 256
	settleTimeout = 150 * time.Millisecond
)

// noter stores what has become of jobs, with one call in flight.
type noter struct{ k *Keeper }

// batch is what one call stores.
type batch struct {
	q     *wire.NoteRequest
	works []*work
	ends  [][]*keptEnd
}

func (n *noter) loop(ctx context.Context) {
	tick := time.NewTicker(lazyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.k.last:
		case <-n.k.urgent:
			n.gather(ctx)
		case <-tick.C:
			n.k.noteBegun()
		}
		for n.send(ctx) {
		}
	}
}

// gather waits until ends have been gathered.
func (n *noter) gather(ctx context.Context) {
	timer := time.NewTimer(gatherInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.k.last:
	case <-timer.C:
	}
}

// send stores what there is, and tells whether there was something.
func (n *noter) send(ctx context.Context) bool {
	b := n.k.gather()
	if len(b.works) == 0 || ctx.Err() != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	reply, err := n.k.store.Note(call, b.q)
	if err != nil || len(reply.GetResults()) != len(b.works) {
		n.k.unanswered("note", len(b.works), err)
		n.k.putBack(b)
		sleep(ctx, backoff())
		return true
	}
	for _, settle := range n.k.noted(b, reply) {
		n.k.d.calls.Go(settle.run)
	}
	return true
}

// gather takes what is to be stored.
func (k *Keeper) gather() *batch {
	d := k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &batch{q: &wire.NoteRequest{Owner: k.owner}}
	for len(k.notes) > 0 && len(b.works) < maxNotes {
		w := k.notes[0]
		k.notes = k.notes[1:]
		kept := w.kept
		if kept.closed {
			continue
		}
		note := &wire.JobNote{Id: w.ID, Epoch: kept.epoch, State: kept.state}
		for name := range kept.dirty {
			note.Tasks = append(note.Tasks, proto.Clone(kept.records[name]).(*wire.TaskRecord))
		}
		clear(kept.dirty)
		b.q.Notes = append(b.q.Notes, note)
		b.works = append(b.works, w)
		b.ends = append(b.ends, kept.ends)
		kept.ends = nil
		kept.changed = false
	}
	return b
}

// putBack has a batch stored again.
func (k *Keeper) putBack(b *batch) {
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	for i, w := range b.works {
		w.kept.ends = append(b.ends[i], w.kept.ends...)
		for _, task := range b.q.GetNotes()[i].GetTasks() {
			w.kept.dirty[task.GetTask()] = true
		}
		if w.kept.closed {
			k.letGo(w)
			continue
		}
		k.change(w)
	}
}

// letGo leaves the ends of a job that was closed while they were being stored.
func (k *Keeper) letGo(w *work) {
	for _, end := range w.kept.ends {
		end.until = k.d.clock.Now() + lostMemory
		if k.hasEnded(w.ID) {
			end.letGo()
		}
	}
}

// noted takes in what the store says of a batch, and returns the calls that tell
// the agents.
func (k *Keeper) noted(b *batch, reply *wire.NoteReply) map[*link]*settler {
	d := k.d
	d.mu.Lock()
	defer d.mu.Unlock()
	settlers := map[*link]*settler{}
	for i, w := range b.works {
		result := reply.GetResults()[i]
		switch {
		case w.kept.closed && !result.GetStored():
			w.kept.ends = append(w.kept.ends, b.ends[i]...)
			k.letGo(w)
			continue
		case result.GetState() == wire.JobState_JOB_STATE_CANCELLED:
			k.cancelled(w)
		case !result.GetStored():
			w.kept.ends = append(b.ends[i], w.kept.ends...)
			k.lose(w, reasonNotOwner)
			continue
		}
		for _, end := range b.ends[i] {
			end.letGo()
			settlers[end.link] = nil
		}
		if isLast(b.q.GetNotes()[i].GetState()) && w.kept.isOpen() {
			k.close(w)
			d.release(w)
		}
	}
	for l := range settlers {
		settlers[l] = &settler{l.runner, &wire.SettleRequest{Entry: d.self, Agent: l.agent, EndsSeen: l.endsStored()}, d.ctx}
	}
	return settlers
}

// isLast tells whether a job stays in a state for good.
func isLast(state wire.JobState) bool { return state >= wire.JobState_JOB_STATE_COMPLETED }

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

// change has a job noted once the noter looks.
func (k *Keeper) change(w *work) {
	if !w.kept.changed {
		w.kept.changed = true
		k.notes = append(k.notes, w)
	}
}

// wake has the noter look.
func wake(noter chan struct{}) {
	select {
	case noter <- struct{}{}:
	default:
	}
}

// noteStarted has it stored that a job has begun.
func (k *Keeper) noteStarted(w *work) {
	if k == nil || !w.kept.isOpen() || w.kept.state >= wire.JobState_JOB_STATE_RUNNING {
		return
	}
	w.kept.state = wire.JobState_JOB_STATE_RUNNING
	k.begun = append(k.begun, w)
}

// noteBegun has the starts of the last interval but one stored, unless the jobs'
// ends were.
func (k *Keeper) noteBegun() {
	k.d.mu.Lock()
	defer k.d.mu.Unlock()
	now := k.d.clock.Now()
	k.begun = slices.DeleteFunc(k.begun, func(w *work) bool {
		old := now-w.startedAt > lazyInterval
		if old && w.kept.isOpen() {
			k.change(w)
		}
		return old || !w.kept.isOpen()
	})
}

// noteEnded has the last state of a job stored.
func (k *Keeper) noteEnded(w *work) {
	if k == nil || !w.kept.isOpen() {
		return
	}
	w.kept.state = wire.JobState_JOB_STATE_FAILED
	if w.outcome.State == Complete {
		w.kept.state = wire.JobState_JOB_STATE_COMPLETED
	}
	k.change(w)
	wake(k.last)
}

// takeEnd takes in an end that a kept run has come to, and returns the run if it
// is one of this entry.
func (k *Keeper) takeEnd(l *link, end *wire.RunEnd, r *run) *run {
	if k == nil || !mustStore(end.GetHow()) {
		return r
	}
	id := jobOf(end.GetRun().GetTask())
	w := k.d.jobs[id]
	if w == nil || !w.kept.isOpen() {
		if !k.hasEnded(id) {
			l.unstored = append(l.unstored, &keptEnd{link: l, number: end.GetNumber(), until: k.d.clock.Now() + lostMemory})
		}
		return r
	}
	if isLast(w.kept.state) {
		return r
	}
	one := &keptEnd{link: l, number: end.GetNumber()}
	l.unstored = append(l.unstored, one)
	w.kept.ends = append(w.kept.ends, one)
	w.kept.take(end)
	k.change(w)
	wake(k.urgent)
	if r == nil {
		r = l.orphanOf(end.GetRun().GetTask())
	}
	if r == nil {
		k.d.apply(w)
	}
	return r
}

// mustStore tells whether an end has to be stored.
func mustStore(how wire.RunHow) bool {
	return how == wire.RunHow_RUN_HOW_DONE || how == wire.RunHow_RUN_HOW_FAILED
}
