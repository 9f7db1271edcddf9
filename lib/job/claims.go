package job

import (
	"context"
	"net/http"
	"sync"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

var _ wire.Registry = (*Claims)(nil)

// Claims is the table of claims of one member. An agent serves it to entries for the
// ids that it owns.
type Claims struct {
	// listedAs returns the incarnation under which the directory lists the member, which
	// changes when it joins again.
	listedAs func() *wire.Incarnation
	clock    clock.Clock

	mu sync.Mutex
	// numbers are those of the incarnations under which this process was listed.
	numbers map[uint64]bool
	table   claimTable
}

// NewClaims returns an empty table.
func NewClaims(listedAs func() *wire.Incarnation, c clock.Clock) *Claims {
	return &Claims{listedAs: listedAs, clock: c, numbers: map[uint64]bool{listedAs().GetNumber(): true}, table: newClaimTable()}
}

// Handler serves entries under wire.RegistryPathPrefix.
func (t *Claims) Handler() http.Handler { return wire.NewRegistryServer(t) }

// AcquireJobs implements wire.Registry.
func (t *Claims) AcquireJobs(_ context.Context, q *wire.AcquireJobsRequest) (*wire.AcquireJobsReply, error) {
	if !t.isAsked(q.GetAsked()) {
		return nil, errOtherIncarnation()
	}
	reply := &wire.AcquireJobsReply{}
	for _, key := range q.GetKeys() {
		holder := t.otherHolder(key, q.GetEntry(), q.GetFormer())
		if !q.GetPeek() {
			holder, _ = t.grant(key, q.GetEntry(), q.GetFormer(), false)
		}
		reply.Results = append(reply.Results, &wire.AcquireJobResult{Holder: holder})
	}
	return reply, nil
}

// JoinJob implements wire.Registry. Only entries run jobs.
func (t *Claims) JoinJob(context.Context, *wire.JoinJobRequest) (*wire.JoinJobReply, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "the member is not an entry")
}

// isAsked reports whether a call is meant for this process, under any incarnation.
func (t *Claims) isAsked(inc *wire.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := t.listedAs()
	t.numbers[listed.GetNumber()] = true
	return inc.GetId() == listed.GetId() && t.numbers[inc.GetNumber()]
}

// grant records the claim of an entry to a job, or returns the other entry that has
// claimed it. A barred job that nobody has claimed is not granted.
func (t *Claims) grant(id string, by *wire.Member, former *wire.Incarnation, barred bool) (holder *wire.Member, granted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if holder = t.table.otherHolder(id, by, former); holder != nil {
		return holder, false
	}
	if barred {
		return nil, false
	}
	t.table.set(id, by, t.clock.Now())
	return nil, true
}

// otherHolder returns the entry that has claimed a job, unless it is by or the former
// one.
func (t *Claims) otherHolder(id string, by *wire.Member, former *wire.Incarnation) *wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.otherHolder(id, by, former)
}

func errOtherIncarnation() twirp.Error {
	return twirp.NewError(twirp.FailedPrecondition, "the call is meant for another incarnation of the member")
}
