package store

import (
	"skylarklane.example/lib/wire"
)

// Members tells which incarnations may own jobs.
type Members interface {
	// IsMember reports whether an incarnation has neither been declared dead
	// nor been superseded by a later incarnation.
	IsMember(who *wire.Incarnation) bool
}

// Machine is the replicated state machine of a job store. Its state changes
// only through commands, and the same commands give the same state on every
// host. It is not safe for concurrent use.
type Machine struct {
	limits Limits
	jobs   map[string]*record
	// activeByOwner holds the ids of the jobs that have not ended, by owner.
	activeByOwner map[owner]map[string]bool
	// queuedCount is the number of queued jobs of each queue.
	queuedCount map[queue]uint64
	// ended lists the ids of the ended jobs that are still stored, in the order
	// in which they ended. forgottenCount is the number of ended jobs removed so
	// far.
	ended          []string
	forgottenCount uint64
	bytes          int
}

// owner is an incarnation in a form usable as a map key.
type owner struct {
	id     string
	number uint64
}

func ownerOf(who *wire.Incarnation) owner { return owner{id: who.GetId(), number: who.GetNumber()} }

// NewMachine returns an empty state machine.
func NewMachine(limits Limits) *Machine {
	m := &Machine{limits: limits}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.jobs = map[string]*record{}
	m.activeByOwner = map[owner]map[string]bool{}
	m.queuedCount = map[queue]uint64{}
	m.ended = nil
	m.forgottenCount = 0
	m.bytes = 0
}

// Apply executes a command. members must be the membership at the same index of
// the log. The result is a *wire.KeepReply, *wire.NoteReply or
// *wire.CancelKeptReply, or the []*wire.JobRecord of a claim.
func (m *Machine) Apply(command *wire.StoreCommand, members Members) any {
	atMillis := command.GetAtMillis()
	switch c := command.GetCommand().(type) {
	case *wire.StoreCommand_Keep:
		return m.keep(c.Keep, members)
	case *wire.StoreCommand_Note:
		return m.note(c.Note, atMillis)
	case *wire.StoreCommand_Cancel:
		return m.cancel(c.Cancel.GetId(), atMillis)
	case *wire.StoreCommand_Claim:
		return m.claim(c.Claim, members)
	case *wire.StoreCommand_Forget:
		m.forget(c.Forget.GetUntil())
	}
	return nil
}

// IsEmpty reports whether no job is stored, ended jobs included.
func (m *Machine) IsEmpty() bool { return len(m.jobs) == 0 }

// put stores a record, replacing the previous one of the same job.
func (m *Machine) put(r *record) {
	m.remove(m.jobs[r.id])
	m.jobs[r.id] = r
	m.bytes += r.bytes()
	if r.state == wire.JobState_JOB_STATE_QUEUED {
		m.queuedCount[r.queue]++
	}
	if r.ended() {
		return
	}
	key := ownerOf(r.owner)
	if m.activeByOwner[key] == nil {
		m.activeByOwner[key] = map[string]bool{}
	}
	m.activeByOwner[key][r.id] = true
}

// remove removes a record from the state. r may be nil.
func (m *Machine) remove(r *record) {
	if r == nil {
		return
	}
	delete(m.jobs, r.id)
	m.bytes -= r.bytes()
	if r.state == wire.JobState_JOB_STATE_QUEUED {
		m.queuedCount[r.queue]--
		if m.queuedCount[r.queue] == 0 {
			delete(m.queuedCount, r.queue)
		}
	}
	key := ownerOf(r.owner)
	delete(m.activeByOwner[key], r.id)
	if len(m.activeByOwner[key]) == 0 {
		delete(m.activeByOwner, key)
	}
}

// replace stores the next version of a record and, if the job has just ended,
// appends it to the ended jobs.
func (m *Machine) replace(before, after *record) {
	m.put(after)
	if !before.ended() && after.ended() {
		m.ended = append(m.ended, after.id)
	}
}

// keep stores a new job, or replies with the reason why it is refused.
func (m *Machine) keep(q *wire.KeepRequest, members Members) *wire.KeepReply {
	job := q.GetJob()
	if job.GetId() == "" || q.GetOwner().GetId() == "" {
		return &wire.KeepReply{Reason: ReasonBadJob}
	}
	if r := m.jobs[job.GetId()]; r != nil {
		return r.duplicateReply(q)
	}
	if !members.IsMember(q.GetOwner()) {
		return &wire.KeepReply{Reason: ReasonNotMember}
	}
	r := newRecord(job, q.GetOwner())
	if len(m.jobs) >= m.limits.Jobs || m.bytes+r.bytes() > m.limits.Bytes {
		return &wire.KeepReply{Reason: ReasonFull}
	}
	m.put(r)
	return &wire.KeepReply{Stored: true, Epoch: r.epoch}
}

// duplicateReply returns the reply to a Keep call for a job id that is already
// stored.
func (r *record) duplicateReply(q *wire.KeepRequest) *wire.KeepReply {
	if r.digest != digestOf(q.GetJob()) {
		return &wire.KeepReply{Known: true, Reason: ReasonOtherContent}
	}
	reply := &wire.KeepReply{Stored: true, Known: true}
	if !r.ended() && wire.Same(r.owner, q.GetOwner()) {
		reply.Epoch = r.epoch
	}
	return reply
}

// note applies the notes of an owner to its jobs.
func (m *Machine) note(q *wire.NoteRequest, atMillis int64) *wire.NoteReply {
	reply := &wire.NoteReply{}
	for _, note := range q.GetNotes() {
		reply.Results = append(reply.Results, m.applyNote(q.GetOwner(), note, atMillis))
	}
	return reply
}

// applyNote updates the state and tasks of a job, if the sender still owns it.
func (m *Machine) applyNote(sender *wire.Incarnation, note *wire.JobNote, atMillis int64) *wire.NoteResult {
	r := m.jobs[note.GetId()]
	if r == nil {
		return &wire.NoteResult{Reason: ReasonUnknownJob}
	}
	if note.GetEpoch() != r.epoch || !wire.Same(r.owner, sender) {
		return &wire.NoteResult{Reason: ReasonNotOwner, State: r.state}
	}
	if r.ended() {
		return &wire.NoteResult{Stored: true, State: r.state}
	}
	var updates []task
	for _, t := range note.GetTasks() {
		updates = append(updates, taskFromWire(r.id, t))
	}
	next := r.WithTasks(updates).WithState(note.GetState(), atMillis)
	m.replace(r, next)
	return &wire.NoteResult{Stored: true, State: next.state}
}

// cancel cancels a job. The state of an ended job does not change.
func (m *Machine) cancel(id string, atMillis int64) *wire.CancelKeptReply {
	r := m.jobs[id]
	if r == nil {
		return &wire.CancelKeptReply{}
	}
	next := r.WithState(wire.JobState_JOB_STATE_CANCELLED, atMillis)
	m.replace(r, next)
	return &wire.CancelKeptReply{Known: true, State: next.state, Owner: next.owner}
}

// claim assigns jobs whose owners are dead to a member. A job is skipped if its
// epoch is no longer the one that the leader saw.
func (m *Machine) claim(c *wire.StoreClaim, members Members) []*wire.JobRecord {
	if !members.IsMember(c.GetOwner()) {
		return nil
	}
	var claimed []*wire.JobRecord
	for _, wanted := range c.GetJobs() {
		r := m.jobs[wanted.GetId()]
		if r == nil || r.ended() || r.epoch != wanted.GetEpoch() || members.IsMember(r.owner) {
			continue
		}
		next := r.WithOwner(c.GetOwner())
		m.put(next)
		claimed = append(claimed, next.toWire())
	}
	return claimed
}

// forget removes ended jobs, oldest first, until the given number of all jobs
// that ever ended have been removed.
func (m *Machine) forget(until uint64) {
	for m.forgottenCount < until && len(m.ended) > 0 {
		m.remove(m.jobs[m.ended[0]])
		m.ended = m.ended[1:]
		m.forgottenCount++
	}
}
