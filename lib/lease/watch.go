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
func (m *Manager) Watch(ctx context.Context, q *wire.WatchRequest) (*wire.WatchReply, error) {
	if q.GetEntry().GetId() == "" {
		return nil, twirp.InvalidArgumentError("entry", "is required")
	}
	s, err := m.renewSession(q)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(q.GetWaitMillis())*time.Millisecond, m.maxWatch())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	delay := min(max(time.Duration(q.GetStateAfterMillis())*time.Millisecond, 0), wait)
	delayOver := time.NewTimer(delay)
	defer delayOver.Stop()
	delayed := delay > 0
	if wait > 0 {
		m.addWatch(1)
		defer m.addWatch(-1)
	}
	for {
		reply, endAdded, stateChanged := m.replyIfNew(s, q, delayed)
		if reply != nil {
			return reply, nil
		}
		select {
		case <-endAdded:
		case <-stateChanged:
		case <-delayOver.C:
			delayed = false
		case <-timer.C:
			return m.reply(s, q), nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "caller cancelled the watch")
		}
	}
}

// addWatch counts a Watch that waits.
func (m *Manager) addWatch(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches += n
	m.endIdle()
}

// replyIfNew returns a reply if the entry lacks ends or the current state of the
// worker. Otherwise it returns channels that are closed when an end is added and
// when a state is published. While delayed is set, a changed state is new only if
// the worker has started or stopped accepting runs since.
func (m *Manager) replyIfNew(s *session, q *wire.WatchRequest, delayed bool) (*wire.WatchReply, <-chan struct{}, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stateChanged := m.publishedState.state.GetVersion() != q.GetVersionSeen() && !m.publishedState.pending
	if delayed && q.GetVersionSeen() >= m.publishedState.urgentVersion {
		stateChanged = false
	}
	if stateChanged || len(m.unreportedEnds(s, q)) > 0 || !wire.Same(q.GetAgent(), m.cfg.Agent) {
		return m.replyLocked(s, q), nil, nil
	}
	return nil, s.wake, m.publishedState.wake
}

func (m *Manager) reply(s *session, q *wire.WatchRequest) *wire.WatchReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replyLocked(s, q)
}

// unreportedEnds returns the ends that were not reported to the entry before.
func (m *Manager) unreportedEnds(s *session, q *wire.WatchRequest) []*wire.RunEnd {
	if !wire.Same(q.GetAgent(), m.cfg.Agent) {
		return s.ends
	}
	n, _ := slices.BinarySearchFunc(s.ends, q.GetEndsTold()+1, func(end *wire.RunEnd, number uint64) int {
		return cmp.Compare(end.GetNumber(), number)
	})
	return s.ends[n:]
}

func (m *Manager) replyLocked(s *session, q *wire.WatchRequest) *wire.WatchReply {
	return &wire.WatchReply{
		Agent:              m.cfg.Agent,
		ClockMillis:        m.nowMillis(),
		SessionUntilMillis: s.until.Milliseconds(),
		Worker:             m.publishedState.state,
		Ends:               slices.Clone(m.unreportedEnds(s, q)),
	}
}
