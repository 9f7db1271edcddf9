package lease

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Settle implements wire.Runner. It acknowledges ends of the entry's runs.
func (m *Manager) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.session(q.GetEntry()); s != nil && wire.Same(q.GetAgent(), m.cfg.Agent) {
		s.ackEnds(q.GetEndsSeen(), m.cfg.Clock.Now())
	}
	return &wire.SettleReply{}, nil
}

// TakeRuns implements wire.Runner. It makes the entry the owner of jobs.
func (m *Manager) TakeRuns(_ context.Context, q *wire.TakeRunsRequest) (*wire.TakeRunsReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	s := m.session(q.GetEntry())
	if !wire.Same(q.GetAgent(), m.cfg.Agent) || s == nil || !s.alive {
		return nil, twirp.NewError(twirp.FailedPrecondition, "call is meant for another incarnation of the agent, or the entry has no session")
	}
	reply := &wire.TakeRunsReply{}
	for _, job := range q.GetJobs() {
		reply.Results = append(reply.Results, m.takeOverJob(s, job.GetId(), job.GetEpoch()))
	}
	m.refreshState()
	return reply, nil
}

// takeOverJob makes the session's entry the owner of a job: runs under
// earlier epochs are stopped, and the ends of the job that no entry has stored
// are reported to the session.
func (m *Manager) takeOverJob(s *session, jobID string, epoch uint64) *wire.TakenResult {
	now := m.cfg.Clock.Now()
	m.epochs[jobID] = jobEpoch{max(epoch, m.epochs[jobID].number), now}
	result := &wire.TakenResult{}
	if m.incarnation == nil || !m.incarnation.cleared {
		result.Left++
	}
	for _, r := range m.runsOfEarlierEpochs(jobID, epoch) {
		r.session = s
		m.halt(r, "taken", now+m.cfg.Lease)
		if r.phase != ended {
			result.Left++
		}
	}
	for _, inc := range m.incarnations() {
		for id := range inc.orphans {
			if jobOf(id.Task) == jobID {
				result.Left++
			}
		}
	}
	m.reassignEnds(s, jobID, epoch)
	for _, end := range s.ends {
		if jobOf(end.GetRun().GetTask()) == jobID {
			result.LastEnd = end.GetNumber()
		}
	}
	return result
}

// runsOfEarlierEpochs returns the runs of a job under earlier epochs.
func (m *Manager) runsOfEarlierEpochs(jobID string, epoch uint64) []*run {
	var found []*run
	for _, inc := range m.incarnations() {
		for _, r := range inc.queued {
			if jobOf(r.key.task) == jobID && r.epoch < epoch {
				found = append(found, r)
			}
		}
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
func (m *Manager) reassignEnds(s *session, jobID string, epoch uint64) {
	var moved []*wire.RunEnd
	for _, other := range m.sessions {
		other.ends = slices.DeleteFunc(other.ends, func(end *wire.RunEnd) bool {
			if jobOf(end.GetRun().GetTask()) != jobID || end.GetEpoch() >= epoch {
				return false
			}
			moved = append(moved, m.renumbered(other, s, end, epoch))
			return true
		})
	}
	s.ends = append(s.ends, moved...)
	for _, inc := range m.incarnations() {
		for _, u := range inc.unstored {
			if u.session == nil && jobOf(u.key.task) == jobID {
				m.lastEnd++
				u.session, u.end = s, m.lastEnd
				s.addEnd(m.lastEnd, u.key, u.how, "", 0).Epoch = epoch
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
func (m *Manager) renumbered(from, s *session, end *wire.RunEnd, epoch uint64) *wire.RunEnd {
	m.lastEnd++
	for _, inc := range m.incarnations() {
		for _, u := range inc.unstored {
			if u.session == from && u.end == end.GetNumber() {
				u.session, u.end = s, m.lastEnd
			}
		}
	}
	renumberedEnd := proto.Clone(end).(*wire.RunEnd)
	renumberedEnd.Number = m.lastEnd
	renumberedEnd.Epoch = epoch
	return renumberedEnd
}
