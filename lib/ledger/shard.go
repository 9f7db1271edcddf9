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
	epoch   uint64
	lostAt  int64
	records map[string]*record
	// keyLocks holds a channel for each key that a write or read is in
	// progress for. It is closed when the operation ends.
	keyLocks map[string]chan struct{}
	// copiedEpoch is the epoch in which this member, while joining, completed
	// a copy.
	copiedEpoch uint64
}

func newShard(number uint32) *shard {
	return &shard{number: number, records: map[string]*record{}, keyLocks: map[string]chan struct{}{}}
}

// advanceTo moves the shard to a newer view. A member that the view does not
// name drops its records, and so does one whose records are from before the
// shard lost all its replicas.
func (s *shard) advanceTo(view *wire.View, self *wire.Incarnation) {
	if view.GetEpoch() <= s.epoch {
		return
	}
	named := wire.Same(view.GetPrimary(), self) || contains(secondaries(view), self)
	if !named || view.GetLostAtMillis() != s.lostAt {
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
		turn := s.keyLocks[key]
		if turn == nil {
			s.keyLocks[key] = make(chan struct{})
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-turn:
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

// page returns up to about n records with keys after the given one, sorted by
// key.
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
