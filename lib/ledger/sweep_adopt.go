package ledger

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	sweepInterval = 5 * time.Second
	adoptInterval = time.Second
	adoptTimeout  = 2 * time.Second
	// maxAdoptionsPerRound bounds how many keys of one shard are offered for
	// adoption in a round.
	maxAdoptionsPerRound = 64
	// orphanCheckAge is how long a key is held before its live holder is asked
	// whether it still knows the key.
	orphanCheckAge = 30 * time.Second
)

// sweepLoop removes expired records until ctx ends.
func (r *Replica) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.sweep(time.Now())
		}
	}
}

func (r *Replica) sweep(now time.Time) {
	retention := r.retention()
	kept := 0
	for _, s := range r.allShards() {
		s.mu.Lock()
		for key, old := range s.records {
			if s.keyLocks[key] == nil && old.expired(retention, now) {
				delete(s.records, key)
			}
		}
		kept += len(s.records)
		s.mu.Unlock()
	}
	r.scope.Gauge("records").Update(float64(kept))
	r.mu.Lock()
	defer r.mu.Unlock()
	for unresponsive, at := range r.reported {
		if now.Sub(at) > sweepInterval {
			delete(r.reported, unresponsive)
		}
	}
}

// adoptLoop asks entries to take over the keys of dead entries, so that callers
// that only poll get their answer.
func (r *Replica) adoptLoop(ctx context.Context) {
	ticker := time.NewTicker(adoptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.adoptAll(ctx)
		}
	}
}

func (r *Replica) adoptAll(ctx context.Context) {
	directory := r.directory.Directory()
	if !r.directory.Current() {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for _, view := range directory.GetViews() {
		if !wire.Same(view.GetPrimary(), r.self) {
			continue
		}
		s := r.shard(view.GetShard())
		for _, record := range r.adoptable(s, directory) {
			group.Go(func() { r.offerAdoption(ctx, directory, record) })
		}
	}
}

// adoptable lists the held keys whose holder is dead, and those that have been
// held for longer than orphanCheckAge.
func (r *Replica) adoptable(s *shard, directory *wire.Directory) []*wire.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*wire.Record
	for key, record := range s.records {
		if record.state != wire.KeyState_KEY_STATE_HELD || len(found) >= maxAdoptionsPerRound {
			continue
		}
		overdue := time.Since(time.UnixMilli(record.heldAt)) > orphanCheckAge
		if overdue || r.memberIndex.isDead(directory, record.holder) {
			found = append(found, &wire.Record{Key: key, Holder: record.holder})
		}
	}
	return found
}

// offerAdoption asks an entry to take over the key of a dead holder. It sends a
// live holder an Await request instead, on which the holder releases the key if
// it does not know it.
func (r *Replica) offerAdoption(ctx context.Context, directory *wire.Directory, record *wire.Record) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	if holder := r.memberIndex.member(directory, record.GetHolder()); holder != nil {
		entry := entryClient(holder, r.client)
		_, _ = entry.Await(ctx, &wire.AwaitRequest{Key: record.GetKey(), Holder: record.GetHolder()})
		return
	}
	entries := entriesOf(directory)
	if len(entries) == 0 {
		return
	}
	// Each round asks another entry, as the previous one may be dead too.
	round := int(time.Now().Unix()) + int(ShardOf(record.GetKey(), len(entries)))
	entry := entryClient(entries[round%len(entries)], r.client)
	r.scope.Counter("adoptions_asked").Inc(1)
	if _, err := entry.Adopt(ctx, &wire.AdoptRequest{Key: record.GetKey()}); err != nil {
		r.log.Warn("Asking an entry to take over a key failed.", "error", err)
	}
}

func entryClient(member *wire.Member, client *http.Client) wire.Entry {
	return wire.NewEntryProtobufClient("http://"+member.GetAddress(), client)
}

// entriesOf lists the entries that are not leaving, sorted by id.
func entriesOf(directory *wire.Directory) []*wire.Member {
	var found []*wire.Member
	for _, member := range directory.GetMembers() {
		if member.GetRole() == wire.Role_ROLE_ENTRY && !member.GetLeaving() {
			found = append(found, member)
		}
	}
	slices.SortFunc(found, func(a, b *wire.Member) int {
		return strings.Compare(a.GetIncarnation().GetId(), b.GetIncarnation().GetId())
	})
	return found
}
