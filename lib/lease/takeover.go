package lease

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Settle implements wire.Runner.
func (k *Keeper) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.session(q.GetEntry()); s != nil && wire.Same(q.GetAgent(), k.cfg.Agent) {
		s.ackEnds(q.GetEndsSeen(), k.cfg.Clock.Now())
	}
	return &wire.SettleReply{}, nil
}

// TakeRuns implements wire.Runner.
func (k *Keeper) TakeRuns(_ context.Context, q *wire.TakeRunsRequest) (*wire.TakeRunsReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	s := k.session(q.GetEntry())
	if !wire.Same(q.GetAgent(), k.cfg.Agent) || s == nil || !s.alive {
		return nil, twirp.NewError(twirp.FailedPrecondition, "call is meant for another incarnation of the agent, or the entry has no session")
	}
	reply := &wire.TakeRunsReply{}
	for _, job := range q.GetJobs() {
		reply.Results = append(reply.Results, k.takeOverJob(s, job.GetId(), job.GetEpoch()))
	}
	k.refreshState()
	return reply, nil
}

// takeOverJob makes the session's entry the owner of a job: runs under
// earlier epochs are stopped, and all ends of the job that are not stored are
// reported to the session.
func (k *Keeper) takeOverJob(s *session, id string, epoch uint64) *wire.TakenResult {
	now := k.cfg.Clock.Now()
	k.epochs[id] = jobEpoch{max(epoch, k.epochs[id].number), now}
	result := &wire.TakenResult{}
	if k.incarnation == nil || !k.incarnation.cleared {
		result.Left++
	}
	for _, r := range k.runsOfEarlierEpochs(id, epoch) {
		r.session = s
		k.halt(r, "taken", now+k.cfg.Lease)
		if r.phase != ended {
			result.Left++
		}
	}
	for _, l := range k.incarnations() {
		for at := range l.orphans {
			if jobOf(at.Task) == id {
				result.Left++
			}
		}
	}
	k.reassignEnds(s, id, epoch)
	for _, end := range s.ends {
		if jobOf(end.GetRun().GetTask()) == id {
			result.LastEnd = end.GetNumber()
		}
	}
	return result
}

// runsOfEarlierEpochs returns the runs of a job under earlier epochs.
func (k *Keeper) runsOfEarlierEpochs(id string, epoch uint64) []*run {
	var found []*run
	for _, l := range k.incarnations() {
		for _, runs := range []map[string]*run{l.waiting, l.active} {
			for task, r := range runs {
				if jobOf(task) == id && r.epoch < epoch {
					found = append(found, r)
				}
			}
		}
	}
	return found
}

// reassignEnds moves the ends of a job to the session, under new numbers.
func (k *Keeper) reassignEnds(s *session, id string, epoch uint64) {
	var moved []*wire.RunEnd
	for _, other := range k.sessions {
		other.ends = slices.DeleteFunc(other.ends, func(end *wire.RunEnd) bool {
			if jobOf(end.GetRun().GetTask()) != id || end.GetEpoch() >= epoch {
				return false
			}
			moved = append(moved, k.renumbered(other, s, end, epoch))
			return true
		})
	}
	s.ends = append(s.ends, moved...)
	for _, l := range k.incarnations() {
		for _, u := range l.unstored {
			if u.session == nil && jobOf(u.key.task) == id {
				k.lastEnd++
				u.session, u.end = s, k.lastEnd
				s.addEnd(k.lastEnd, u.key, u.how, "", 0).Epoch = epoch
			}
		}
	}
	if len(moved) > 0 {
		close(s.wake)
		s.wake = make(chan struct{})
	}
}

// renumbered returns the copy of an end of from that is reported to s.
func (k *Keeper) renumbered(from, s *session, end *wire.RunEnd, epoch uint64) *wire.RunEnd {
	k.lastEnd++
	for _, l := range k.incarnations() {
		for _, u := range l.unstored {
			if u.session == from && u.end == end.GetNumber() {
				u.session, u.end = s, k.lastEnd
			}
		}
	}
	again := proto.Clone(end).(*wire.RunEnd)
	again.Number = k.lastEnd
	again.Epoch = epoch
	return again
}
