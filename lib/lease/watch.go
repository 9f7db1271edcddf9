package lease

import (
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Watch implements wire.Runner.
func (k *Keeper) Watch(ctx context.Context, q *wire.WatchRequest) (*wire.WatchReply, error) {
	if q.GetEntry().GetId() == "" {
		return nil, twirp.InvalidArgumentError("entry", "must be there")
	}
	s, err := k.renew(q)
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(q.GetWaitMillis())*time.Millisecond, k.cfg.Session/2)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, ends, board := k.news(s, q)
		if reply != nil {
			return reply, nil
		}
		select {
		case <-ends:
		case <-board:
		case <-timer.C:
			return k.reply(s, q), nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "watch broken off")
		}
	}
}

// renew extends the session of the entry, or begins it.
func (k *Keeper) renew(q *wire.WatchRequest) (*session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	s, err := k.enter(q.GetEntry())
	if err != nil {
		return nil, err
	}
	now := k.cfg.Clock.Now()
	known := wire.Same(q.GetAgent(), k.cfg.Agent)
	until := now + k.cfg.Session
	if known && q.GetRenewUntilMillis() != 0 {
		until = min(until, time.Duration(q.GetRenewUntilMillis())*time.Millisecond)
	} else if s.alive {
		until = s.until
	}
	if until > now {
		s.until = max(s.until, until)
		s.renewedAt = now
	}
	if !s.alive && s.until > now {
		s.alive = true
		k.tellSession(event.SessionStarted, s)
	}
	if known {
		s.seen(q.GetEndsSeen(), now)
	}
	return s, nil
}

// enter returns the session of the entry's incarnation. A new incarnation ends
// the session of the one before.
func (k *Keeper) enter(entry *wire.Incarnation) (*session, error) {
	s := k.sessions[entry.GetId()]
	if s != nil && wire.Same(s.entry, entry) {
		return s, nil
	}
	next := newSession(entry)
	if s != nil {
		if slices.Contains(s.former, entry.GetNumber()) {
			return nil, twirp.NewError(twirp.FailedPrecondition, "an incarnation that was replaced")
		}
		k.close(s, "entryReplaced")
		next.former = append(s.former, s.entry.GetNumber())
		next.former = next.former[max(0, len(next.former)-livesRemembered):]
	}
	k.sessions[entry.GetId()] = next
	return next, nil
}

// news is the reply if there is something new, or else what tells of it.
func (k *Keeper) news(s *session, q *wire.WatchRequest) (*wire.WatchReply, <-chan struct{}, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.board.state.GetVersion() != q.GetVersionSeen() && !k.board.pending
	if fresh || len(s.ends) > 0 || !wire.Same(q.GetAgent(), k.cfg.Agent) {
		return k.replyLocked(s), nil, nil
	}
	return nil, s.wake, k.board.wake
}

func (k *Keeper) reply(s *session, _ *wire.WatchRequest) *wire.WatchReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replyLocked(s)
}

func (k *Keeper) replyLocked(s *session) *wire.WatchReply {
	return &wire.WatchReply{
		Agent:              k.cfg.Agent,
		ClockMillis:        k.nowMillis(),
		SessionUntilMillis: s.until.Milliseconds(),
		Worker:             k.board.state,
		Ends:               slices.Clone(s.ends),
	}
}
