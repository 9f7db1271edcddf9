package lease

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Settle implements wire.Runner. It acknowledges ends of the entry's runs.
func (k *Keeper) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.session(q.GetEntry()); s != nil && wire.Same(q.GetAgent(), k.cfg.Agent) {
		s.ackEnds(q.GetEndsSeen(), k.cfg.Clock.Now())
	}
	return &wire.SettleReply{}, nil
}

// TakeRuns implements wire.Runner. It makes the entry the owner of jobs.
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
// earlier epochs are stopped, and the ends of the job that no entry has stored
// are reported to the session.
func (k *Keeper) takeOverJob(s *session, jobID string, epoch uint64) *wire.TakenResult {
	now := k.cfg.Clock.Now()
	k.epochs[jobID] = jobEpoch{max(epoch, k.epochs[jobID].number), now}
	result := &wire.TakenResult{}
	if k.incarnation == nil || !k.incarnation.cleared {
		result.Left++
	}
	for _, r := range k.runsOfEarlierEpochs(jobID, epoch) {
		r.session = s
		k.halt(r, "taken", now+k.cfg.Lease)
		if r.phase != ended {
			result.Left++
		}
	}
	for _, inc := range k.incarnations() {
		for id := range inc.orphans {
			if jobOf(id.Task) == jobID {
				result.Left++
			}
		}
	}
	k.reassignEnds(s, jobID, epoch)
	for _, end := range s.ends {
		if jobOf(end.GetRun().GetTask()) == jobID {
			result.LastEnd = end.GetNumber()
		}
	}
	return result
}

// runsOfEarlierEpochs returns the runs of a job under earlier epochs.
func (k *Keeper) runsOfEarlierEpochs(jobID string, epoch uint64) []*run {
	var found []*run
	for _, inc := range k.incarnations() {
		for _, runs := range []map[string]*run{inc.waiting, inc.active} {
			for task, r := range runs {
				if jobOf(task) == jobID && r.epoch < epoch {
					found = append(found, r)
				}
			}
		}
	}
	return found
}

// reassignEnds moves the ends of a job that were recorded under earlier epochs
// to the session, under new numbers.
func (k *Keeper) reassignEnds(s *session, jobID string, epoch uint64) {
	var moved []*wire.RunEnd
	for _, other := range k.sessions {
		other.ends = slices.DeleteFunc(other.ends, func(end *wire.RunEnd) bool {
			if jobOf(end.GetRun().GetTask()) != jobID || end.GetEpoch() >= epoch {
				return false
			}
			moved = append(moved, k.renumbered(other, s, end, epoch))
			return true
		})
	}
	s.ends = append(s.ends, moved...)
	for _, inc := range k.incarnations() {
		for _, u := range inc.unstored {
			if u.session == nil && jobOf(u.key.task) == jobID {
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

// renumbered returns a copy of an end of session from, with the number and epoch
// under which it is reported to session s.
func (k *Keeper) renumbered(from, s *session, end *wire.RunEnd, epoch uint64) *wire.RunEnd {
	k.lastEnd++
	for _, inc := range k.incarnations() {
		for _, u := range inc.unstored {
			if u.session == from && u.end == end.GetNumber() {
				u.session, u.end = s, k.lastEnd
			}
		}
	}
	renumberedEnd := proto.Clone(end).(*wire.RunEnd)
	renumberedEnd.Number = k.lastEnd
	renumberedEnd.Epoch = epoch
	return renumberedEnd
}
