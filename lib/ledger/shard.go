package ledger

import (
	"context"
	"slices"
	"sync"

	"skylarklane.example/lib/wire"
)

// shard is what a replica holds of one shard.
type shard struct {
	number uint32

	mu sync.Mutex
	// epoch is the newest that this member has seen.
	epoch   uint64
	lostAt  int64
	records map[string]*record
	// busy holds the keys that a write or read is under way for.
	busy map[string]chan struct{}
	// copied is the epoch in which this member, joining, took a whole copy.
	copied uint64
}

func newShard(number uint32) *shard {
	return &shard{number: number, records: map[string]*record{}, busy: map[string]chan struct{}{}}
}

// follow moves the shard up to a view. A member that the view does not name,
// or that had records from before a loss of all members, drops them.
func (s *shard) follow(view *wire.View, self *wire.Incarnation) {
	if view.GetEpoch() <= s.epoch {
		return
	}
	named := wire.Same(view.GetPrimary(), self) || contains(others(view), self)
	if !named || view.GetLostAtMillis() != s.lostAt {
		clear(s.records)
	}
	s.epoch = view.GetEpoch()
	s.lostAt = view.GetLostAtMillis()
}

// lock waits for the turn of a key.
func (s *shard) lock(ctx context.Context, key string) error {
	for {
		s.mu.Lock()
		turn := s.busy[key]
		if turn == nil {
			s.busy[key] = make(chan struct{})
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

func (s *shard) unlock(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.busy[key])
	delete(s.busy, key)
}

// page returns records with keys after one, in order.
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
