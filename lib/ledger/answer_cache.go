package ledger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// maxCachedAnswerBytes bounds the memory for answers at one replica. When it is
// exceeded, the oldest answers are dropped; their keys and outcomes are kept.
const maxCachedAnswerBytes = 12 << 20

// smallAnswerBytes is the size up to which an encoded outcome does not count
// towards the limit and is not evicted.
const smallAnswerBytes = 64

// answerCache tracks the answers in the records of a replica, oldest first, and
// evicts the oldest ones when their total size exceeds a limit in bytes.
type answerCache struct {
	mu      sync.Mutex
	limit   int
	bytes   int
	answers []cachedAnswer
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
	for _, old := range a.addAndTrim(cachedAnswer{shard: s, key: key, bytes: n}) {
		old.evict()
	}
}

// addAndTrim adds an answer, and removes and returns the oldest ones beyond the
// limit, which the caller must evict.
func (a *answerCache) addAndTrim(added cachedAnswer) (dropped []cachedAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, added)
	a.bytes += added.bytes
	n := 0
	for a.bytes > a.limit && n < len(a.answers) {
		a.bytes -= a.answers[n].bytes
		n++
	}
	dropped = a.answers[:n:n]
	a.answers = a.answers[n:]
	return dropped
}

// evict shortens the outcome in the answer's record: a complete outcome loses
// its results, any other loses its detail.
func (k cachedAnswer) evict() {
	k.shard.mu.Lock()
	defer k.shard.mu.Unlock()
	old := k.shard.records[k.key]
	if old == nil || len(old.outcome) <= smallAnswerBytes {
		return
	}
	var outcome wire.Outcome
	_ = proto.Unmarshal(old.outcome, &outcome)
	shortened := *old
	shortened.outcome, shortened.truncated = truncatedOutcome(outcome.GetKind()), true
	if outcome.GetKind() != wire.OutcomeKind_OUTCOME_KIND_COMPLETE {
		outcome.Detail = ""
		shortened.outcome, _ = proto.Marshal(&outcome)
	}
	k.shard.records[k.key] = &shortened
}
