package lease

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/wire"
)

// Watch implements wire.Runner. It renews the entry's session, and waits for new
// ends or a changed state of the worker.
func (k *Keeper) Watch(ctx context.Context, q *wire.WatchRequest) (*wire.WatchReply, error) {
	if q.GetEntry().GetId() == "" {
		return nil, twirp.InvalidArgumentError("entry", "is required")
	}
	s, err := k.renewSession(q)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(q.GetWaitMillis())*time.Millisecond, k.cfg.Session/2)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, endAdded, stateChanged := k.replyIfNew(s, q)
		if reply != nil {
			return reply, nil
		}
		select {
		case <-endAdded:
		case <-stateChanged:
		case <-timer.C:
			return k.reply(s, q), nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "caller cancelled the watch")
		}
	}
}

// replyIfNew returns a reply if the entry lacks ends or the current state of the
// worker. Otherwise it returns channels that are closed when an end is added and
// when a state is published.
func (k *Keeper) replyIfNew(s *session, q *wire.WatchRequest) (*wire.WatchReply, <-chan struct{}, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	stateChanged := k.publishedState.state.GetVersion() != q.GetVersionSeen() && !k.publishedState.pending
	if stateChanged || len(k.unreportedEnds(s, q)) > 0 || !wire.Same(q.GetAgent(), k.cfg.Agent) {
		return k.replyLocked(s, q), nil, nil
	}
	return nil, s.wake, k.publishedState.wake
}

func (k *Keeper) reply(s *session, q *wire.WatchRequest) *wire.WatchReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replyLocked(s, q)
}

// unreportedEnds returns the ends that were not reported to the entry before.
func (k *Keeper) unreportedEnds(s *session, q *wire.WatchRequest) []*wire.RunEnd {
	if !wire.Same(q.GetAgent(), k.cfg.Agent) {
		return s.ends
	}
	n, _ := slices.BinarySearchFunc(s.ends, q.GetEndsTold()+1, func(end *wire.RunEnd, number uint64) int {
		return cmp.Compare(end.GetNumber(), number)
	})
	return s.ends[n:]
}

func (k *Keeper) replyLocked(s *session, q *wire.WatchRequest) *wire.WatchReply {
	return &wire.WatchReply{
		Agent:              k.cfg.Agent,
		ClockMillis:        k.nowMillis(),
		SessionUntilMillis: s.until.Milliseconds(),
		Worker:             k.publishedState.state,
		Ends:               slices.Clone(k.unreportedEnds(s, q)),
	}
}
