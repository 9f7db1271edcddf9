package quorum

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Group is a process's access to the replicated log. A Node is a member that
// stops on a failure, a Host is a member that recovers from failures, and a
// Relay is not a member and only knows the leader.
type Group interface {
	wire.Quorum
	Run(ctx context.Context) error
	Propose(ctx context.Context, command []byte) (any, error)
	Read(ctx context.Context, f func(term uint64)) error
	ReadConfirmed(ctx context.Context, f func(term uint64)) error
	ReadStatus(ctx context.Context, f func(Status)) error
	Admit(ctx context.Context, host *wire.LogHost) error
	Remove(ctx context.Context, id string) error
	SetSeeds(ctx context.Context, seeds []string) error
}

var (
	_ Group = (*Node)(nil)
	_ Group = (*Host)(nil)
	_ Group = (*Relay)(nil)
)

// Relay represents the group on a host without a disk. It tracks the leader and
// the other hosts but is not a member.
type Relay struct {
	cfg       Config
	transport Transport
	log       *slog.Logger

	mu             sync.Mutex
	seeds          []string
	knownAddresses []string
	group          *wire.LogGroup
	leader         *wire.LogHost
	founderChoice  founderChoice
}

// NewRelay returns a relay. Run starts it.
func NewRelay(cfg Config, transport Transport, log *slog.Logger) *Relay {
	return &Relay{
		cfg: cfg.withDefaults(), transport: transport, log: log, seeds: cfg.Seeds,
		founderChoice: founderChoice{candidates: map[string]*wire.LogHost{}},
	}
}

// Run tracks the group's leader until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	r.loop(ctx)
	return nil
}

func (r *Relay) loop(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.Timing.Election / 2)
	defer ticker.Stop()
	for {
		r.findLeader(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// findLeader queries the known leader. If it no longer leads, all known hosts
// are queried.
func (r *Relay) findLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.Election/2)
	defer cancel()
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	if leader != nil && r.handleReplies(queryHosts(ctx, r.transport, r.cfg.ID, []string{leader.GetAddress()})) {
		return
	}
	if !r.handleReplies(queryHosts(ctx, r.transport, r.cfg.ID, r.meetTargets())) && leader != nil {
		r.mu.Lock()
		r.leader = nil
		r.mu.Unlock()
		logLeaderChange(r.log, "", reasonSilent)
	}
}

// handleReplies processes replies and reports whether one came from the leader.
func (r *Relay) handleReplies(replies []*wire.MeetReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateChoice(replies)
	found := false
	for _, reply := range replies {
		r.addKnownAddressesLocked(reply.GetAddress())
		r.addKnownAddressesLocked(reply.GetKnown()...)
		if !reply.GetLeader() {
			continue
		}
		found = true
		if r.leader.GetId() != reply.GetId() {
			logLeaderChange(r.log, reply.GetId(), reasonHeard, slog.String("address", reply.GetAddress()))
		}
		r.group = reply.GetGroup()
		r.leader = &wire.LogHost{Id: reply.GetId(), Address: reply.GetAddress()}
	}
	return found
}

// addKnownAddresses remembers addresses of other hosts.
func (r *Relay) addKnownAddresses(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addKnownAddressesLocked(addresses...)
}

func (r *Relay) addKnownAddressesLocked(addresses ...string) {
	for _, address := range addresses {
		if address == "" || address == r.cfg.Address || slices.Contains(r.knownAddresses, address) {
			continue
		}
		r.knownAddresses = append(r.knownAddresses, address)
		if len(r.knownAddresses) > maxKnownAddresses {
			r.knownAddresses = slices.Clone(r.knownAddresses[1:])
		}
	}
}

func (r *Relay) meetTargets() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Concat(r.seeds, r.knownAddresses)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == "" || address == r.cfg.Address })
}

// SetSeeds replaces the seeds. An empty list is ignored.
func (r *Relay) SetSeeds(_ context.Context, seeds []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(seeds) > 0 {
		r.seeds = slices.Clone(seeds)
	}
	return nil
}

// Meet implements wire.Quorum. It returns what the relay knows of the group.
func (r *Relay) Meet(_ context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addKnownAddressesLocked(q.GetAddress())
	if q.GetFounds() && r.cfg.Bootstrap {
		r.founderChoice.addCandidate(q, r.cfg.Now())
	}
	return &wire.MeetReply{
		Id: r.cfg.ID, Address: r.cfg.Address, Relay: true, Group: r.group, Known: slices.Clone(r.knownAddresses),
		Founder: r.founderChoice.founder, Fixed: r.founderChoice.fixed,
	}, nil
}

// notLeaderError returns an error that names the leader.
func (r *Relay) notLeaderError(op string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Error{
		Op: op, Kind: KindNotLeader, Leader: r.leader.GetId(), Address: r.leader.GetAddress(), Err: eris.New("this host is a relay, not a member of the group"),
	}
}

// Propose implements Group.
func (r *Relay) Propose(context.Context, []byte) (any, error) {
	return nil, r.notLeaderError("propose")
}

// Read implements Group.
func (r *Relay) Read(context.Context, func(term uint64)) error { return r.notLeaderError("read") }

// ReadConfirmed implements Group.
func (r *Relay) ReadConfirmed(context.Context, func(term uint64)) error {
	return r.notLeaderError("confirm")
}

// Admit implements Group.
func (r *Relay) Admit(context.Context, *wire.LogHost) error { return r.notLeaderError("admit") }

// Remove implements Group.
func (r *Relay) Remove(context.Context, string) error { return r.notLeaderError("remove") }

// ReadStatus implements Group.
func (r *Relay) ReadStatus(_ context.Context, f func(Status)) error {
	r.mu.Lock()
	s := Status{Leader: r.leader.GetId(), InGroup: r.group != nil}
	for _, host := range r.group.GetHosts() {
		s.Hosts = append(s.Hosts, HostStatus{ID: host.GetId(), Address: host.GetAddress(), Voter: host.GetVoter()})
	}
	r.mu.Unlock()
	f(s)
	return nil
}

// Vote implements wire.Quorum.
func (r *Relay) Vote(context.Context, *wire.VoteRequest) (*wire.VoteReply, error) {
	return nil, r.notLeaderError("vote")
}

// Append implements wire.Quorum.
func (r *Relay) Append(context.Context, *wire.AppendRequest) (*wire.AppendReply, error) {
	return nil, r.notLeaderError("append")
}

// Install implements wire.Quorum.
func (r *Relay) Install(context.Context, *wire.InstallRequest) (*wire.InstallReply, error) {
	return nil, r.notLeaderError("install")
}

// queryHosts asks hosts concurrently which group they belong to, and returns the
// replies received before ctx ended.
func queryHosts(ctx context.Context, transport Transport, id string, addresses []string) []*wire.MeetReply {
	results := make(chan *wire.MeetReply, len(addresses))
	for _, address := range addresses {
		go (&meetQuery{transport, id, address, results}).run(ctx)
	}
	var replies []*wire.MeetReply
	for range addresses {
		if reply := <-results; reply != nil {
			replies = append(replies, reply)
		}
	}
	return replies
}

// meetQuery asks one host which group it belongs to, without asking to join it.
type meetQuery struct {
	transport Transport
	id        string
	address   string
	replies   chan<- *wire.MeetReply
}

func (m *meetQuery) run(ctx context.Context) {
	reply, err := m.transport.Meet(ctx, &wire.LogHost{Address: m.address}, &wire.MeetRequest{Id: m.id, Relay: true})
	if err != nil {
		reply = nil
	}
	m.replies <- reply
}
