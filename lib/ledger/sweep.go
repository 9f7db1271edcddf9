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
	// adoptsAtOnce bounds how many keys of one shard are offered in a round.
	adoptsAtOnce = 64
	// orphanTime is after which a live holder is asked whether it knows a key.
	orphanTime = 30 * time.Second
)

// sweepLoop forgets what is older than the retention.
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
	for _, s := range r.all() {
		s.mu.Lock()
		for key, old := range s.records {
			if s.busy[key] == nil && old.expired(retention, now) {
				delete(s.records, key)
			}
		}
		kept += len(s.records)
		s.mu.Unlock()
	}
	r.scope.Gauge("records").Update(float64(kept))
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.reported {
		if now.Sub(at) > sweepInterval {
			delete(r.reported, name)
		}
	}
}

// adoptLoop has the keys of lost entries taken over, so that callers who only
// poll get their answer.
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
		for _, record := range r.abandoned(s, directory) {
			group.Go(func() { r.offer(ctx, directory, record) })
		}
	}
}

// abandoned lists the held keys whose holder is dead, and old ones whose
// holder should be asked.
func (r *Replica) abandoned(s *shard, directory *wire.Directory) []*wire.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*wire.Record
	for key, record := range s.records {
		if record.state != wire.KeyState_KEY_STATE_HELD || len(found) >= adoptsAtOnce {
			continue
		}
		old := time.Since(time.UnixMilli(record.heldAt)) > orphanTime
		if old || r.book.isDead(directory, record.holder) {
			found = append(found, &wire.Record{Key: key, Holder: record.holder})
		}
	}
	return found
}

// offer asks an entry to take a key over, or a live holder to tell of it.
func (r *Replica) offer(ctx context.Context, directory *wire.Directory, record *wire.Record) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	if holder := r.book.member(directory, record.GetHolder()); holder != nil {
		entry := entryAt(holder, r.client)
		_, _ = entry.Await(ctx, &wire.AwaitRequest{Key: record.GetKey(), Holder: record.GetHolder()})
		return
	}
	entries := entriesOf(directory)
	if len(entries) == 0 {
		return
	}
	// Each round asks another entry, as the first may be lost too.
	round := int(time.Now().Unix()) + int(Shard(record.GetKey(), len(entries)))
	entry := entryAt(entries[round%len(entries)], r.client)
	r.scope.Counter("adoptions_asked").Inc(1)
	if _, err := entry.Adopt(ctx, &wire.AdoptRequest{Key: record.GetKey()}); err != nil {
		r.log.Warn("An entry did not take a key over.", "error", err)
	}
}

func entryAt(member *wire.Member, client *http.Client) wire.Entry {
	return wire.NewEntryProtobufClient("http://"+member.GetAddress(), client)
}

// entriesOf lists the entries that are not leaving, by id.
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
