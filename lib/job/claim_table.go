package job

import (
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// claimRetention is how long a claim is remembered. Entries look each firstReclaim for
	// open jobs whose claims are not repeated yet, and repeat them each reclaimInterval.
	claimRetention  = 30 * time.Second
	firstReclaim    = 400 * time.Millisecond
	reclaimInterval = 10 * time.Second
	// maxClaims bounds the claims in a table, each of which takes some 200 bytes.
	maxClaims = 1 << 15
)

// claim is the entry that has claimed a job.
type claim struct {
	holder *wire.Member
	at     time.Duration
}

// claimedJob is an element of the order of claims.
type claimedJob struct {
	id string
	at time.Duration
}

// claimTable holds the claims that this entry has granted.
type claimTable struct {
	claims map[string]claim
	// order lists the claims from the oldest; one that was repeated is in it more than
	// once.
	order []claimedJob
}

func newClaimTable() claimTable { return claimTable{claims: map[string]claim{}} }

// otherHolder returns the entry that has claimed a job, nil if there is none or it is by
// or the former one.
func (t *claimTable) otherHolder(id string, by *wire.Member, former *wire.Incarnation) *wire.Member {
	holder := t.claims[id].holder
	if wire.Same(holder.GetIncarnation(), by.GetIncarnation()) || wire.Same(holder.GetIncarnation(), former) {
		return nil
	}
	return holder
}

// set records a claim.
func (t *claimTable) set(id string, holder *wire.Member, now time.Duration) {
	t.claims[id] = claim{holder, now}
	t.order = append(t.order, claimedJob{id, now})
	t.evict(now)
}

// evict drops claims that are older than claimRetention, and the oldest ones beyond
// maxClaims.
func (t *claimTable) evict(now time.Duration) {
	for len(t.order) > 0 && (len(t.order) > maxClaims || now-t.order[0].at > claimRetention) {
		oldest := t.order[0]
		t.order = t.order[1:]
		if t.claims[oldest.id].at == oldest.at {
			delete(t.claims, oldest.id)
		}
	}
}
