package ledger

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// answerBudget bounds the memory for answers at one replica, in bytes. Beyond
// it the oldest answers are dropped; their keys and outcomes stay.
const answerBudget = 12 << 20

// smallAnswerBytes is the size up to which answers are not counted.
const smallAnswerBytes = 64

// answers drops the oldest answers of a replica when they take too much
// memory.
type answers struct {
	mu    sync.Mutex
	limit int
	bytes int
	kept  []keptAnswer
}

type keptAnswer struct {
	shard *shard
	key   string
	bytes int
}

// add counts an answer and drops the oldest ones in excess. The caller holds
// no shard's lock.
func (a *answers) add(s *shard, key string, n int) {
	if n <= smallAnswerBytes {
		return
	}
	for _, old := range a.push(keptAnswer{shard: s, key: key, bytes: n}) {
		old.drop()
	}
}

func (a *answers) push(one keptAnswer) (dropped []keptAnswer) {
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

// drop shortens an answer to its outcome.
func (k keptAnswer) drop() {
	k.shard.mu.Lock()
	defer k.shard.mu.Unlock()
	old := k.shard.records[k.key]
	if old == nil || len(old.outcome) <= smallAnswerBytes {
		return
	}
	var outcome wire.Outcome
	_ = proto.Unmarshal(old.outcome, &outcome)
	short := *old
	short.outcome, short.truncated = truncate(outcome.GetKind()), true
	if outcome.GetKind() != wire.OutcomeKind_OUTCOME_KIND_COMPLETE {
		outcome.Detail = ""
		short.outcome, _ = proto.Marshal(&outcome)
	}
	k.shard.records[k.key] = &short
}
