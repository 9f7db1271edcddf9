package ledger

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	copyPageRecords = 500
	copyPageBytes   = 1 << 20
	// copyInterval is the interval at which a joining member retries its
	// copies, and reports the complete ones again.
	copyInterval = 200 * time.Millisecond
	copyTimeout  = 5 * time.Second
)

// Copy implements wire.Ledger. The primary serves a copy only in the epoch
// that the request names: from that epoch on, each write is replicated to the
// joining member too.
func (r *Replica) Copy(ctx context.Context, q *wire.CopyRequest) (*wire.CopyReply, error) {
	s, view, code := r.resolveAsPrimary(ctx, q.GetShard(), q.GetEpoch())
	if code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.CopyReply{Error: code}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != q.GetEpoch() || view.GetEpoch() != q.GetEpoch() {
		return &wire.CopyReply{Error: r.countRefusal("staleView", wire.LedgerError_LEDGER_ERROR_STALE_VIEW)}, nil
	}
	records, done := s.page(q.GetAfter(), copyPageRecords)
	return &wire.CopyReply{Records: records, Done: done}, nil
}

// copyLoop advances the shards to the directory's views and copies the shards
// that this member joins, until ctx ends.
func (r *Replica) copyLoop(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		changed := r.directory.Changed()
		r.copyAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (r *Replica) copyAll(ctx context.Context) {
	directory := r.directory.Directory()
	for _, view := range directory.GetViews() {
		s := r.shard(view.GetShard())
		s.mu.Lock()
		s.advanceTo(view, r.self)
		copied := s.copiedEpoch == view.GetEpoch()
		s.mu.Unlock()
		if !contains(view.GetJoining(), r.self) || !r.directory.Current() {
			continue
		}
		if copied || r.copyShard(ctx, directory, s, view) {
			r.sendReport(&wire.ReportRequest{Reporter: r.self, Report: &wire.ReportRequest_Copied{
				Copied: &wire.Copied{Shard: view.GetShard(), Epoch: view.GetEpoch()},
			}})
		}
	}
}

// copyShard copies every record from the primary and reports whether the copy
// is complete.
func (r *Replica) copyShard(ctx context.Context, directory *wire.Directory, s *shard, view *wire.View) bool {
	primary := r.memberIndex.ledgerClient(directory, view.GetPrimary())
	if primary == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	q := &wire.CopyRequest{Shard: view.GetShard(), Epoch: view.GetEpoch()}
	for {
		reply, err := primary.Copy(ctx, q)
		if err != nil || reply.GetError() != wire.LedgerError_LEDGER_ERROR_NONE || !r.storePage(s, view, reply) {
			r.scope.Counter("copies_tried_again").Inc(1)
			return false
		}
		if reply.GetDone() {
			break
		}
		q.After = reply.GetRecords()[len(reply.GetRecords())-1].GetKey()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != view.GetEpoch() {
		return false
	}
	s.copiedEpoch = view.GetEpoch()
	r.scope.Counter("copies").Inc(1)
	return true
}

// storePage stores the records of a page that are newer than the local ones. It
// reports whether the copy may continue: every record could be stored, and the
// page is the last one or not empty.
func (r *Replica) storePage(s *shard, view *wire.View, page *wire.CopyReply) bool {
	for _, m := range page.GetRecords() {
		next, err := recordFromWire(m)
		if err != nil {
			return false
		}
		next.holder = r.intern(next.holder)
		q := &wire.ReplicateRequest{Shard: s.number, Epoch: view.GetEpoch(), Record: m}
		if r.store(s, q, next) != wire.LedgerError_LEDGER_ERROR_NONE {
			return false
		}
	}
	return page.GetDone() || len(page.GetRecords()) > 0
}
