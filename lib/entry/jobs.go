package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

// job is a key that this entry is at work on. There is one for each key at a
// time, however many callers wait for it, and it stays until the ledger has
// said what stands.
type job struct {
	key string
	// digest and spec are absent for keys that nobody has submitted here.
	digest      []byte
	spec        *wire.JobSpec
	submittedAt int64
	deadline    time.Time
	// refused is why the submission must not run; nil where it may.
	refused *refusal
	// lasting refusals keep the key from being tried again.
	lasting bool
	cancel  context.CancelFunc

	// known is closed once the ledger has told who has the key. After that,
	// held tells that the digest is the one of the key.
	known     chan struct{}
	held      bool
	knownOnce sync.Once
	// done is closed once the outcome is recorded; it is nil where nothing is
	// known of the key.
	done    chan struct{}
	outcome *wire.Outcome
}

// know tells the waiters who has the key.
func (j *job) know(held bool) {
	j.knownOnce.Do(func() {
		j.held = held
		close(j.known)
	})
}

// matches tells whether a submission is the same as the job's.
func (j *job) matches(digest []byte) bool {
	return j.digest != nil && bytes.Equal(j.digest, digest)
}

// jobs holds the jobs of an entry by key.
type jobs struct {
	mu    sync.Mutex
	byKey map[string]*job
}

func newJobs() *jobs { return &jobs{byKey: map[string]*job{}} }

// open returns the job of a key. Where there was none, it is j and is the
// caller's to run.
func (s *jobs) open(j *job) (*job, bool) {
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

// find returns the job of a key, nil where there is none.
func (s *jobs) find(key string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// close ends a job.
func (s *jobs) close(j *job, outcome *wire.Outcome) {
	s.mu.Lock()
	delete(s.byKey, j.key)
	s.mu.Unlock()
	j.outcome = outcome
	j.know(false)
	close(j.done)
}

// wait waits until no job is left or ctx ends.
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

func (s *jobs) any() *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.byKey {
		return j
	}
	return nil
}
