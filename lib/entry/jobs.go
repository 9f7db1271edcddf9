package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

// job is this entry's state for one key, from a submission or adoption until the
// ledger has confirmed the outcome. There is at most one per key, shared by all
// callers that wait for it.
type job struct {
	key string
	// digest and spec are unset for keys without a submission at this entry.
	digest      []byte
	spec        *wire.JobSpec
	submittedAt int64
	deadline    time.Time
	// refused is why the submission must not run; nil if it may.
	refused *refusal
	// lastingRefusal is set if the kind is not known to be idempotent: if the job
	// is refused, later submissions of its key do not run either.
	lastingRefusal bool
	cancel         context.CancelFunc

	// known is closed once the ledger has reported the state of the key. held is
	// set before: it is true if the key is recorded with this job's digest.
	known     chan struct{}
	held      bool
	knownOnce sync.Once
	// done is closed once the outcome is recorded. The outcome is nil if the
	// ledger has no record of the key.
	done    chan struct{}
	outcome *wire.Outcome
}

// markKnown sets held and closes known, at the first call only.
func (j *job) markKnown(held bool) {
	j.knownOnce.Do(func() {
		j.held = held
		close(j.known)
	})
}

// matches reports whether a submission has the same content as the job's.
func (j *job) matches(digest []byte) bool {
	return j.digest != nil && bytes.Equal(j.digest, digest)
}

// jobs is the registry of an entry's jobs by key.
type jobs struct {
	mu    sync.Mutex
	byKey map[string]*job
}

func newJobs() *jobs { return &jobs{byKey: map[string]*job{}} }

// findOrAdd returns the registered job of j's key. If there is none, it registers
// j and returns true; the caller must then run it.
func (s *jobs) findOrAdd(j *job) (*job, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.byKey[j.key]; old != nil {
		return old, false
	}
	j.known = make(chan struct{})
	j.done = make(chan struct{})
	s.byKey[j.key] = j
	return j, true
}

// find returns the job of a key, or nil if there is none.
func (s *jobs) find(key string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// close removes a job and publishes its outcome.
func (s *jobs) close(j *job, outcome *wire.Outcome) {
	s.mu.Lock()
	delete(s.byKey, j.key)
	s.mu.Unlock()
	j.outcome = outcome
	j.markKnown(false)
	close(j.done)
}

// wait blocks until no job is left or ctx ends.
func (s *jobs) wait(ctx context.Context) error {
	for {
		j := s.any()
		if j == nil {
			return nil
		}
		select {
		case <-j.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// any returns one of the jobs, or nil if there is none.
func (s *jobs) any() *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.byKey {
		return j
	}
	return nil
}
