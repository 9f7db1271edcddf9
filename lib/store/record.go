package store

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// queue identifies a queue of jobs.
type queue struct{ service, kind string }

// digest is a truncated SHA-256 hash of a submission.
type digest [16]byte

// record is the stored state of one job. It is immutable: the With methods
// return modified copies.
type record struct {
	id    string
	queue queue
	// content is the encoded submission, nil once the job has ended.
	content []byte
	digest  digest
	// reservedBytes is the size of the job once all its tasks have a stored
	// record without a checkpoint.
	reservedBytes int
	state         wire.JobState
	owner         *wire.Incarnation
	epoch         uint64
	tasks         []task
	tasksBytes    int
	endedAtMillis int64
}

// newRecord returns the record of a newly accepted job.
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
	r.reservedBytes = recordBytes + len(r.content) + taskCount(job)*taskBytes
	return r
}

func taskCount(job *wire.KeptJob) int {
	n := 0
	for _, step := range job.GetSteps() {
		n += int(step.GetCount())
	}
	return n
}

// digestOf returns the digest of a submission. The time of acceptance is left
// out, so that a resubmission has the same digest.
func digestOf(job *wire.KeptJob) digest {
	job = proto.CloneOf(job)
	job.AcceptedAtMillis = 0
	sum := sha256.Sum256(encode(job))
	return digest(sum[:len(digest{})])
}

func (r *record) ended() bool { return isTerminal(r.state) }

// bytes returns the size by which the job counts towards Limits.Bytes.
func (r *record) bytes() int {
	if r.ended() {
		return recordBytes
	}
	return max(r.reservedBytes, recordBytes+len(r.content)+r.tasksBytes)
}

// WithOwner returns the record with a new owner and the next epoch.
func (r *record) WithOwner(owner *wire.Incarnation) *record {
	next := *r
	next.owner = owner
	next.epoch++
	return &next
}

// WithTasks returns the record with task updates merged in.
func (r *record) WithTasks(updates []task) *record {
	next := *r
	next.tasks = mergeTasks(r.tasks, updates)
	next.tasksBytes = 0
	for _, t := range next.tasks {
		next.tasksBytes += t.bytes()
	}
	return &next
}

// WithState returns the record in the given state if that state is later than
// the current one, and the record itself otherwise. Content and tasks of an
// ended job are dropped.
func (r *record) WithState(state wire.JobState, atMillis int64) *record {
	if state <= r.state || r.ended() {
		return r
	}
	next := *r
	next.state = state
	if isTerminal(state) {
		next.content, next.tasks, next.tasksBytes = nil, nil, 0
		next.endedAtMillis = atMillis
	}
	return &next
}

// toWire encodes the record for owners and snapshots.
func (r *record) toWire() *wire.JobRecord {
	m := &wire.JobRecord{Job: &wire.KeptJob{}, State: r.state, Owner: r.owner, Epoch: r.epoch, EndedAtMillis: r.endedAtMillis}
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

// recordFromSnapshot decodes a record of a snapshot.
func recordFromSnapshot(stored *wire.StoredJob) *record {
	m := stored.GetRecord()
	r := newRecord(m.GetJob(), m.GetOwner())
	r.epoch = m.GetEpoch()
	r.state = m.GetState()
	r.endedAtMillis = m.GetEndedAtMillis()
	copy(r.digest[:], stored.GetDigest())
	if r.ended() {
		r.content = nil
	}
	var tasks []task
	for _, t := range m.GetTasks() {
		tasks = append(tasks, taskFromWire(r.id, t))
	}
	return r.WithTasks(tasks)
}

// encode marshals a message deterministically. It panics on an error, which the
// messages of this package cannot cause.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// decode unmarshals a message written by encode. It panics on an error.
func decode(b []byte, m proto.Message) {
	if err := proto.Unmarshal(b, m); err != nil {
		panic(err)
	}
}
