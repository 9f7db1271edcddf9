package store

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// queue is where jobs wait.
type queue struct{ service, kind string }

// digest tells contents apart.
type digest [16]byte

// record is what is stored of one job. It is never changed: the With methods
// return another one.
type record struct {
	id    string
	queue queue
	// content is the encoded submission, nil once the job has ended.
	content []byte
	digest  digest
	// reserved is the room for the job, with all its tasks noted.
	reserved int
	state    wire.JobState
	owner    *wire.Incarnation
	epoch    uint64
	tasks    []task
	noted    int
	endedAt  int64
}

// newRecord returns a job as it is when it comes in.
func newRecord(job *wire.KeptJob, owner *wire.Incarnation) *record {
	r := &record{
		id:      job.GetId(),
		queue:   queue{service: job.GetService(), kind: job.GetKind()},
		content: encode(job),
		digest:  digestOf(job),
		state:   wire.JobState_JOB_STATE_QUEUED,
		owner:   owner,
		epoch:   1,
	}
	r.reserved = recordBytes + len(r.content) + taskCount(job)*taskBytes
	return r
}

func taskCount(job *wire.KeptJob) int {
	n := 0
	for _, step := range job.GetSteps() {
		n += int(step.GetCount())
	}
	return n
}

// digestOf names what a caller submitted; when it came in does not count.
func digestOf(job *wire.KeptJob) digest {
	job = proto.CloneOf(job)
	job.AcceptedAtMillis = 0
	sum := sha256.Sum256(encode(job))
	return digest(sum[:len(digest{})])
}

func (r *record) ended() bool { return isLast(r.state) }

// bytes is the room that the job takes.
func (r *record) bytes() int {
	if r.ended() {
		return recordBytes
	}
	return max(r.reserved, recordBytes+len(r.content)+r.noted)
}

// WithOwner returns the job under its next owner.
func (r *record) WithOwner(owner *wire.Incarnation) *record {
	next := *r
	next.owner = owner
	next.epoch++
	return &next
}

// WithTasks returns the job with more noted of its tasks.
func (r *record) WithTasks(news []task) *record {
	next := *r
	next.tasks = mergeTasks(r.tasks, news)
	next.noted = 0
	for _, t := range next.tasks {
		next.noted += t.bytes()
	}
	return &next
}

// WithState returns the job in a state, where that is a later one. A job that
// has ended is kept by its name and its end alone.
func (r *record) WithState(state wire.JobState, at int64) *record {
	if state <= r.state || r.ended() {
		return r
	}
	next := *r
	next.state = state
	if isLast(state) {
		next.content, next.tasks, next.noted = nil, nil, 0
		next.endedAt = at
	}
	return &next
}

// message returns the record as owners and snapshots have it.
func (r *record) message() *wire.JobRecord {
	m := &wire.JobRecord{Job: &wire.KeptJob{}, State: r.state, Owner: r.owner, Epoch: r.epoch, EndedAtMillis: r.endedAt}
	if r.content != nil {
		decode(r.content, m.Job)
	} else {
		m.Job.Id, m.Job.Service, m.Job.Kind = r.id, r.queue.service, r.queue.kind
	}
	for _, t := range r.tasks {
		m.Tasks = append(m.Tasks, t.record(r.id))
	}
	return m
}

// restored returns the record that a snapshot has.
func restored(stored *wire.StoredJob) *record {
	m := stored.GetRecord()
	r := newRecord(m.GetJob(), m.GetOwner())
	r.epoch = m.GetEpoch()
	r.state = m.GetState()
	r.endedAt = m.GetEndedAtMillis()
	copy(r.digest[:], stored.GetDigest())
	if r.ended() {
		r.content = nil
	}
	var tasks []task
	for _, t := range m.GetTasks() {
		tasks = append(tasks, newTask(r.id, t))
	}
	return r.WithTasks(tasks)
}

// encode writes a message of the schema, which cannot fail.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// decode reads what encode has written.
func decode(b []byte, m proto.Message) {
	if err := proto.Unmarshal(b, m); err != nil {
		panic(err)
	}
}
