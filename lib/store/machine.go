package store

import (
	"skylarklane.example/lib/wire"
)

// Members tells who may own jobs.
type Members interface {
	// IsMember is set while an incarnation has not been declared dead and no
	// later one has taken its place.
	IsMember(who *wire.Incarnation) bool
}

// Machine is the state that the hosts of a store agree upon. It changes by
// commands alone, and the same commands make the same state on every host. Its
// methods are called by one goroutine at a time.
type Machine struct {
	limits Limits
	jobs   map[string]*record
	// owned are the jobs that have not ended, by owner.
	owned map[owner]map[string]bool
	// waiting counts the queued jobs of each queue.
	waiting map[queue]uint64
	// ended are those that have ended, in that order; forgotten were before them.
	ended     []string
	forgotten uint64
	bytes     int
}

// owner is an incarnation as a key.
type owner struct {
	id     string
	number uint64
}

func ownerOf(who *wire.Incarnation) owner { return owner{id: who.GetId(), number: who.GetNumber()} }

// NewMachine returns an empty store.
func NewMachine(limits Limits) *Machine {
	m := &Machine{limits: limits}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.jobs = map[string]*record{}
	m.owned = map[owner]map[string]bool{}
	m.waiting = map[queue]uint64{}
	m.ended = nil
	m.forgotten = 0
	m.bytes = 0
}

// Apply carries a command out. The members are those at the same place in the
// log. The result is a *wire.KeepReply, *wire.NoteReply or
// *wire.CancelKeptReply, or the []*wire.JobRecord of a claim.
func (m *Machine) Apply(command *wire.StoreCommand, members Members) any {
	at := command.GetAtMillis()
	switch c := command.GetCommand().(type) {
	case *wire.StoreCommand_Keep:
		return m.keep(c.Keep, members)
	case *wire.StoreCommand_Note:
		return m.note(c.Note, at)
	case *wire.StoreCommand_Cancel:
		return m.cancel(c.Cancel.GetId(), at)
	case *wire.StoreCommand_Claim:
		return m.claim(c.Claim, members)
	case *wire.StoreCommand_Forget:
		m.forget(c.Forget.GetUntil())
	}
	return nil
}

// IsEmpty tells whether there is no job, not even one that ended lately.
func (m *Machine) IsEmpty() bool { return len(m.jobs) == 0 }

// put stores a record in the place of the one that it follows from.
func (m *Machine) put(r *record) {
	m.drop(m.jobs[r.id])
	m.jobs[r.id] = r
	m.bytes += r.bytes()
	if r.state == wire.JobState_JOB_STATE_QUEUED {
		m.waiting[r.queue]++
	}
	if r.ended() {
		return
	}
	key := ownerOf(r.owner)
	if m.owned[key] == nil {
		m.owned[key] = map[string]bool{}
	}
	m.owned[key][r.id] = true
}

// drop takes a record out, which may be nil.
func (m *Machine) drop(r *record) {
	if r == nil {
		return
	}
	delete(m.jobs, r.id)
	m.bytes -= r.bytes()
	if r.state == wire.JobState_JOB_STATE_QUEUED {
		m.waiting[r.queue]--
		if m.waiting[r.queue] == 0 {
			delete(m.waiting, r.queue)
		}
	}
	key := ownerOf(r.owner)
	delete(m.owned[key], r.id)
	if len(m.owned[key]) == 0 {
		delete(m.owned, key)
	}
}

// finish stores a record that may just have ended.
func (m *Machine) finish(before, after *record) {
	m.put(after)
	if !before.ended() && after.ended() {
		m.ended = append(m.ended, after.id)
	}
}

func (m *Machine) keep(q *wire.KeepRequest, members Members) *wire.KeepReply {
	job := q.GetJob()
	if job.GetId() == "" || q.GetOwner().GetId() == "" {
		return &wire.KeepReply{Reason: ReasonBadJob}
	}
	if r := m.jobs[job.GetId()]; r != nil {
		return r.again(q)
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

// again answers for a job whose id is stored.
func (r *record) again(q *wire.KeepRequest) *wire.KeepReply {
	if r.digest != digestOf(q.GetJob()) {
		return &wire.KeepReply{Known: true, Reason: ReasonOtherContent}
	}
	reply := &wire.KeepReply{Stored: true, Known: true}
	if !r.ended() && wire.Same(r.owner, q.GetOwner()) {
		reply.Epoch = r.epoch
	}
	return reply
}

func (m *Machine) note(q *wire.NoteRequest, at int64) *wire.NoteReply {
	reply := &wire.NoteReply{}
	for _, note := range q.GetNotes() {
		reply.Results = append(reply.Results, m.noteOne(q.GetOwner(), note, at))
	}
	return reply
}

func (m *Machine) noteOne(who *wire.Incarnation, note *wire.JobNote, at int64) *wire.NoteResult {
	r := m.jobs[note.GetId()]
	if r == nil {
		return &wire.NoteResult{Reason: ReasonUnknownJob}
	}
	if note.GetEpoch() != r.epoch || !wire.Same(r.owner, who) {
		return &wire.NoteResult{Reason: ReasonNotOwner, State: r.state}
	}
	if r.ended() {
		return &wire.NoteResult{Stored: true, State: r.state}
	}
	var news []task
	for _, t := range note.GetTasks() {
		news = append(news, newTask(r.id, t))
	}
	next := r.WithTasks(news).WithState(note.GetState(), at)
	m.finish(r, next)
	return &wire.NoteResult{Stored: true, State: next.state}
}

func (m *Machine) cancel(id string, at int64) *wire.CancelKeptReply {
	r := m.jobs[id]
	if r == nil {
		return &wire.CancelKeptReply{}
	}
	next := r.WithState(wire.JobState_JOB_STATE_CANCELLED, at)
	m.finish(r, next)
	return &wire.CancelKeptReply{Known: true, State: next.state, Owner: next.owner}
}

// claim gives jobs of the dead to a member. The epoch tells that they are still
// those that the leader chose.
func (m *Machine) claim(c *wire.StoreClaim, members Members) []*wire.JobRecord {
	if !members.IsMember(c.GetOwner()) {
		return nil
	}
	var claimed []*wire.JobRecord
	for _, named := range c.GetJobs() {
		r := m.jobs[named.GetId()]
		if r == nil || r.ended() || r.epoch != named.GetEpoch() || members.IsMember(r.owner) {
			continue
		}
		next := r.WithOwner(c.GetOwner())
		m.put(next)
		claimed = append(claimed, next.message())
	}
	return claimed
}

func (m *Machine) forget(until uint64) {
	for m.forgotten < until && len(m.ended) > 0 {
		m.drop(m.jobs[m.ended[0]])
		m.ended = m.ended[1:]
		m.forgotten++
	}
}
