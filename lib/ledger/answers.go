package ledger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// answerBudget bounds the memory for answers at one replica, in bytes. When it
// is exceeded, the oldest answers are dropped; their keys and outcomes are
// kept.
const answerBudget = 12 << 20

// smallAnswerBytes is the size up to which answers do not count towards the
// limit.
const smallAnswerBytes = 64

// answerCache tracks the answers kept by a replica and evicts the oldest ones
// beyond a size limit.
type answerCache struct {
	mu    sync.Mutex
	limit int
	bytes int
	kept  []cachedAnswer
}

type cachedAnswer struct {
	shard *shard
	key   string
	bytes int
}

// add records an answer and evicts the oldest ones beyond the limit. The
// caller must not hold a shard's lock.
func (a *answerCache) add(s *shard, key string, n int) {
	if n <= smallAnswerBytes {
		return
	}
	for _, old := range a.trim(cachedAnswer{shard: s, key: key, bytes: n}) {
		old.evict()
	}
}

// trim adds an answer and returns the oldest ones beyond the limit, which the
// caller must evict.
func (a *answerCache) trim(one cachedAnswer) (dropped []cachedAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept = append(a.kept, one)
	a.bytes += one.bytes
	n := 0
	for a.bytes > a.limit && n < len(a.kept) {
		a.bytes -= a.kept[n].bytes
		n++
	}
	dropped = a.kept[:n:n]
	a.kept = a.kept[n:]
	return dropped
}

// evict reduces a stored answer to its outcome: a complete outcome loses its
// results, any other loses its detail.
func (k cachedAnswer) evict() {
	k.shard.mu.Lock()
	defer k.shard.mu.Unlock()
	old := k.shard.records[k.key]
	if old == nil || len(old.outcome) <= smallAnswerBytes {
		return
	}
	var outcome wire.Outcome
	_ = proto.Unmarshal(old.outcome, &outcome)
	short := *old
	short.outcome, short.truncated = truncatedOutcome(outcome.GetKind()), true
	if outcome.GetKind() != wire.OutcomeKind_OUTCOME_KIND_COMPLETE {
		outcome.Detail = ""
		short.outcome, _ = proto.Marshal(&outcome)
	}
	k.shard.records[k.key] = &short
}
