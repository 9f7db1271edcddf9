package ledger

import (
	"context"
	"slices"
	"sync"

	"skylarklane.example/lib/wire"
)

// shard is one shard's records at a replica.
type shard struct {
	number uint32

	mu sync.Mutex
	// epoch is the newest epoch that this member has seen.
	epoch uint64
	// lostAt is when the shard last lost all its replicas, in Unix
	// milliseconds, and 0 if it never did.
	lostAt  int64
	records map[string]*record
	// keyLocks has a channel for each key that an operation is in progress on.
	// The channel is closed when the operation ends.
	keyLocks map[string]chan struct{}
	// copiedEpoch is the epoch in which this replica last completed a copy as a
	// joining member.
	copiedEpoch uint64
}

func newShard(number uint32) *shard {
	return &shard{number: number, records: map[string]*record{}, keyLocks: map[string]chan struct{}{}}
}

// advanceTo moves the shard to a view if it is newer. The records are dropped if
// this replica is not a member of the view, or if they are from before the shard
// lost all its replicas.
func (s *shard) advanceTo(view *wire.View, self *wire.Incarnation) {
	if view.GetEpoch() <= s.epoch {
		return
	}
	isMember := wire.Same(view.GetPrimary(), self) || contains(secondaries(view), self)
	if !isMember || view.GetLostAtMillis() != s.lostAt {
		clear(s.records)
	}
	s.epoch = view.GetEpoch()
	s.lostAt = view.GetLostAtMillis()
}

// lockKey waits until no other operation on a key is in progress, and locks
// the key.
func (s *shard) lockKey(ctx context.Context, key string) error {
	for {
		s.mu.Lock()
		unlocked := s.keyLocks[key]
		if unlocked == nil {
			s.keyLocks[key] = make(chan struct{})
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-unlocked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *shard) unlockKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.keyLocks[key])
	delete(s.keyLocks, key)
}

// page returns the next records with keys after the given one, sorted by key: up
// to n, or fewer once their outcomes exceed copyPageBytes. It reports done if
// there are no more.
func (s *shard) page(after string, n int) (found []*wire.Record, done bool) {
	var keys []string
	for key := range s.records {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, key := range keys {
		if len(found) >= n || size > copyPageBytes {
			return found, false
		}
		r := s.records[key]
		size += len(r.outcome)
		found = append(found, r.wire(key))
	}
	return found, true
}
