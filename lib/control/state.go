package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// viewSize is how many agents keep each shard of the ledger.
const viewSize = 3

// state is what a control host knows. One goroutine owns it.
type state struct {
	directory *wire.Directory
	members   map[string]*wire.Member
	leases    map[string]time.Time
	changes   []*wire.Change
	lease     time.Duration
	shards    uint32
}

func newState(cfg *wire.ControlSettings) *state {
	return &state{
		directory: &wire.Directory{RetentionMillis: cfg.GetRetentionMillis()},
		members:   map[string]*wire.Member{},
		leases:    map[string]time.Time{},
		lease:     time.Duration(cfg.GetLeaseMillis()) * time.Millisecond,
		shards:    cfg.GetShards(),
	}
}

// renew takes a heartbeat in and tells the others where the member is new.
func (s *state) renew(member *wire.Member, now time.Time) {
	id := member.GetIncarnation().GetId()
	s.leases[id] = now.Add(s.lease)
	if proto.Equal(s.members[id], member) {
		return
	}
	s.members[id] = member
	s.touch()
}

// expire removes members whose lease has run out.
func (s *state) expire(now time.Time) {
	for id, until := range s.leases {
		if now.Before(until) {
			continue
		}
		s.directory.Dead = append(s.directory.Dead, s.members[id].GetIncarnation())
		delete(s.leases, id)
		delete(s.members, id)
		s.touch()
	}
}

// publish accepts a change based on the version in force, once.
func (s *state) publish(r *wire.PublishRequest, now time.Time) *wire.PublishReply {
	for _, change := range s.changes {
		if change.GetChangeId() == r.GetChangeId() {
			return &wire.PublishReply{Accepted: true, Version: change.GetVersion()}
		}
	}
	if r.GetBaseVersion() != s.directory.GetConfigVersion() {
		return s.lost()
	}
	s.directory.ConfigVersion++
	s.directory.Services = r.GetServices()
	s.directory.Teams = r.GetTeams()
	s.changes = append(s.changes, &wire.Change{
		Version:          s.directory.GetConfigVersion(),
		ChangeId:         r.GetChangeId(),
		Author:           r.GetAuthor(),
		AcceptedAtMillis: now.UnixMilli(),
		Services:         r.GetServices(),
		Teams:            r.GetTeams(),
	})
	s.touch()
	return &wire.PublishReply{Accepted: true, Version: s.directory.GetConfigVersion()}
}

// lost answers a change whose base version is not in force.
func (s *state) lost() *wire.PublishReply {
	reply := &wire.PublishReply{Version: s.directory.GetConfigVersion()}
	if n := len(s.changes); n > 0 {
		reply.Winner = s.changes[n-1].GetAuthor()
		reply.WinnerChangeId = s.changes[n-1].GetChangeId()
	}
	return reply
}

func (s *state) since(version uint64, limit int) []*wire.Change {
	first := slices.IndexFunc(s.changes, func(c *wire.Change) bool { return c.GetVersion() >= version })
	if first < 0 {
		return nil
	}
	found := s.changes[first:]
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return slices.Clone(found)
}

func (s *state) memberStatus(now time.Time) []*wire.MemberStatus {
	var found []*wire.MemberStatus
	for _, member := range s.sorted() {
		left := s.leases[member.GetIncarnation().GetId()].Sub(now)
		found = append(found, &wire.MemberStatus{Member: member, LeaseLeftMillis: left.Milliseconds()})
	}
	return found
}

func (s *state) snapshot() *wire.Directory {
	return proto.Clone(s.directory).(*wire.Directory)
}

// touch makes a new version of the directory.
func (s *state) touch() {
	s.directory.Version++
	s.directory.Members = s.sorted()
	s.directory.Views = s.views()
}

func (s *state) sorted() []*wire.Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b *wire.Member) int {
		return strings.Compare(a.GetIncarnation().GetId(), b.GetIncarnation().GetId())
	})
}

// views spreads the shards over the agents.
func (s *state) views() []*wire.View {
	var agents []*wire.Incarnation
	for _, member := range s.directory.GetMembers() {
		if member.GetRole() == wire.Role_ROLE_AGENT {
			agents = append(agents, member.GetIncarnation())
		}
	}
	if len(agents) == 0 {
		return nil
	}
	var views []*wire.View
	for shard := range s.shards {
		view := &wire.View{Shard: shard, Epoch: s.directory.GetVersion()}
		for n := range min(viewSize, len(agents)) {
			agent := agents[(int(shard)+n)%len(agents)]
			if n == 0 {
				view.Primary = agent
				continue
			}
			view.Backups = append(view.Backups, agent)
		}
		views = append(views, view)
	}
	return views
}
