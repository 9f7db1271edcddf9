// Package ledger keeps the record of submission keys on several agents, so
// that no submission runs twice and every outcome can be told again.
package ledger

import (
	"bytes"
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
)

// Directory is what a replica needs to know of the other members.
type Directory interface {
	Directory() *wire.Directory
}

// Replica is the part of the ledger that one agent keeps.
type Replica struct {
	self      *wire.Incarnation
	directory Directory
	client    *http.Client

	mu      sync.Mutex
	records map[string]*wire.Record
}

// New returns an empty replica for the agent incarnation self.
func New(self *wire.Incarnation, directory Directory, client *http.Client) *Replica {
	return &Replica{self: self, directory: directory, client: client, records: map[string]*wire.Record{}}
}

// Shard returns the shard of a key among n shards.
func Shard(key string, n int) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return h.Sum32() % uint32(n)
}

// Hold implements wire.Ledger.
func (r *Replica) Hold(ctx context.Context, q *wire.HoldRequest) (*wire.HoldReply, error) {
	r.mu.Lock()
	old := r.records[q.GetKey()]
	if old != nil {
		r.mu.Unlock()
		return r.held(old, q), nil
	}
	record := &wire.Record{
		Key:               q.GetKey(),
		Digest:            q.GetDigest(),
		State:             wire.KeyState_KEY_STATE_HELD,
		Holder:            q.GetHolder(),
		Sequence:          1,
		SubmittedAtMillis: q.GetSubmittedAtMillis(),
		HeldAtMillis:      time.Now().UnixMilli(),
		Spec:              q.GetSpec(),
	}
	r.records[q.GetKey()] = record
	r.mu.Unlock()
	if code := r.replicate(ctx, q.GetShard(), q.GetEpoch(), record); code != wire.LedgerError_LEDGER_ERROR_NONE {
		return &wire.HoldReply{Error: code}, nil
	}
	return &wire.HoldReply{Granted: true}, nil
}

// held answers a hold of a key that has a record.
func (r *Replica) held(old *wire.Record, q *wire.HoldRequest) *wire.HoldReply {
	if !bytes.Equal(old.GetDigest(), q.GetDigest()) {
		return &wire.HoldReply{Error: wire.LedgerError_LEDGER_ERROR_CONFLICT}
	}
	return &wire.HoldReply{Record: old}
}

// Finish implements wire.Ledger.
func (r *Replica) Finish(ctx context.Context, q *wire.FinishRequest) (*wire.FinishReply, error) {
	r.mu.Lock()
	old := r.records[q.GetKey()]
	if old.GetState() == wire.KeyState_KEY_STATE_FINISHED {
		r.mu.Unlock()
		return &wire.FinishReply{Record: old}, nil
	}
	record := &wire.Record{
		Key:               q.GetKey(),
		Digest:            old.GetDigest(),
		State:             wire.KeyState_KEY_STATE_FINISHED,
		Holder:            q.GetHolder(),
		Sequence:          old.GetSequence() + 1,
		SubmittedAtMillis: old.GetSubmittedAtMillis(),
		HeldAtMillis:      old.GetHeldAtMillis(),
		Outcome:           q.GetOutcome(),
	}
	r.records[q.GetKey()] = record
	r.mu.Unlock()
	return &wire.FinishReply{Error: r.replicate(ctx, q.GetShard(), q.GetEpoch(), record)}, nil
}

// Release implements wire.Ledger.
func (r *Replica) Release(context.Context, *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	return &wire.ReleaseReply{Error: wire.LedgerError_LEDGER_ERROR_IN_DOUBT}, nil
}

// Look implements wire.Ledger.
func (r *Replica) Look(_ context.Context, q *wire.LookRequest) (*wire.LookReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wire.LookReply{Record: r.records[q.GetKey()]}, nil
}

// Replicate implements wire.Ledger.
func (r *Replica) Replicate(_ context.Context, q *wire.ReplicateRequest) (*wire.ReplicateReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[q.GetRecord().GetKey()] = q.GetRecord()
	return &wire.ReplicateReply{}, nil
}

// Copy implements wire.Ledger.
func (r *Replica) Copy(context.Context, *wire.CopyRequest) (*wire.CopyReply, error) {
	return &wire.CopyReply{Done: true}, nil
}

// replicate brings a record to every backup of the shard's view.
func (r *Replica) replicate(ctx context.Context, shard uint32, epoch uint64, record *wire.Record) wire.LedgerError {
	directory := r.directory.Directory()
	if int(shard) >= len(directory.GetViews()) {
		return wire.LedgerError_LEDGER_ERROR_STALE_VIEW
	}
	request := &wire.ReplicateRequest{Shard: shard, Epoch: epoch, Primary: r.self, Record: record}
	for _, backup := range directory.GetViews()[shard].GetBackups() {
		address := addressOf(directory, backup)
		if _, err := wire.NewLedgerProtobufClient("http://"+address, r.client).Replicate(ctx, request); err != nil {
			return wire.LedgerError_LEDGER_ERROR_IN_DOUBT
		}
	}
	return wire.LedgerError_LEDGER_ERROR_NONE
}

func addressOf(directory *wire.Directory, who *wire.Incarnation) string {
	for _, member := range directory.GetMembers() {
		if member.GetIncarnation().GetId() == who.GetId() && member.GetIncarnation().GetNumber() == who.GetNumber() {
			return member.GetAddress()
		}
	}
	return ""
}
