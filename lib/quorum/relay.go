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

// Group is how a process reaches the replicated log: a Host takes part in it,
// a Node does so once, and a Relay only knows where it is.
type Group interface {
	wire.Quorum
	Run(ctx context.Context) error
	Propose(ctx context.Context, command []byte) (any, error)
	Read(ctx context.Context, f func(term uint64)) error
	Confirm(ctx context.Context, f func(term uint64)) error
	Peek(ctx context.Context, f func(Status)) error
	Admit(ctx context.Context, host *wire.LogHost) error
	Remove(ctx context.Context, id string) error
	SetSeeds(ctx context.Context, seeds []string) error
}

var (
	_ Group = (*Node)(nil)
	_ Group = (*Host)(nil)
	_ Group = (*Relay)(nil)
)

// Relay stands for the group on a host without a disk. It knows the leader and
// the other hosts, and takes part in nothing.
type Relay struct {
	cfg       Config
	transport Transport
	log       *slog.Logger

	mu     sync.Mutex
	seeds  []string
	known  []string
	group  *wire.LogGroup
	leader *wire.LogHost
	choice choice
}

// NewRelay returns a relay. Run starts it.
func NewRelay(cfg Config, transport Transport, log *slog.Logger) *Relay {
	return &Relay{
		cfg: cfg.withDefaults(), transport: transport, log: log, seeds: cfg.Seeds,
		choice: choice{hosts: map[string]*wire.LogHost{}},
	}
}

// Run follows the group's leader until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	r.loop(ctx)
	return nil
}

func (r *Relay) loop(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.Timing.Election / 2)
	defer ticker.Stop()
	for {
		r.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look asks the leader that is known, and everyone where it leads no more.
func (r *Relay) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timing.Election/2)
	defer cancel()
	r.mu.Lock()
	leader := r.leader
	r.mu.Unlock()
	if leader != nil && r.take(ask(ctx, r.transport, r.cfg.ID, []string{leader.GetAddress()})) {
		return
	}
	if !r.take(ask(ctx, r.transport, r.cfg.ID, r.contacts())) && leader != nil {
		r.mu.Lock()
		r.leader = nil
		r.mu.Unlock()
		noteLeader(r.log, "", reasonSilent)
	}
}

// take takes answers in and tells whether one came from the leader.
func (r *Relay) take(replies []*wire.MeetReply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose(replies)
	found := false
	for _, reply := range replies {
		r.remember(reply.GetAddress())
		r.remember(reply.GetKnown()...)
		if !reply.GetLeader() {
			continue
		}
		found = true
		if r.leader.GetId() != reply.GetId() {
			noteLeader(r.log, reply.GetId(), reasonHeard, slog.String("address", reply.GetAddress()))
		}
		r.group = reply.GetGroup()
		r.leader = &wire.LogHost{Id: reply.GetId(), Address: reply.GetAddress()}
	}
	return found
}

// know keeps addresses of other hosts.
func (r *Relay) know(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(addresses...)
}

func (r *Relay) remember(addresses ...string) {
	for _, address := range addresses {
		if address == "" || address == r.cfg.Address || slices.Contains(r.known, address) {
			continue
		}
		r.known = append(r.known, address)
		if len(r.known) > maxKnown {
			r.known = slices.Clone(r.known[1:])
		}
	}
}

func (r *Relay) contacts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Concat(r.seeds, r.known)
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == "" || address == r.cfg.Address })
}

// SetSeeds puts other seeds in the place of the ones in force.
func (r *Relay) SetSeeds(_ context.Context, seeds []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(seeds) > 0 {
		r.seeds = slices.Clone(seeds)
	}
	return nil
}

// Meet implements wire.Quorum: it tells where the group is.
func (r *Relay) Meet(_ context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(q.GetAddress())
	if q.GetFounds() && r.cfg.Found {
		r.choice.register(q, r.cfg.Now())
	}
	return &wire.MeetReply{
		Id: r.cfg.ID, Address: r.cfg.Address, Relay: true, Group: r.group, Known: slices.Clone(r.known),
		Founder: r.choice.founder, Fixed: r.choice.fixed,
	}, nil
}

// elsewhere is the error that names the leader.
func (r *Relay) elsewhere(op string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Error{
		Op: op, Kind: KindNotLeader, Leader: r.leader.GetId(), Address: r.leader.GetAddress(), Err: eris.New("this host is a relay"),
	}
}

// Propose implements Group.
func (r *Relay) Propose(context.Context, []byte) (any, error) { return nil, r.elsewhere("propose") }

// Read implements Group.
func (r *Relay) Read(context.Context, func(term uint64)) error { return r.elsewhere("read") }

// Confirm implements Group.
func (r *Relay) Confirm(context.Context, func(term uint64)) error { return r.elsewhere("confirm") }

// Admit implements Group.
func (r *Relay) Admit(context.Context, *wire.LogHost) error { return r.elsewhere("admit") }

// Remove implements Group.
func (r *Relay) Remove(context.Context, string) error { return r.elsewhere("remove") }

// Peek implements Group.
func (r *Relay) Peek(_ context.Context, f func(Status)) error {
	r.mu.Lock()
	s := Status{Leader: r.leader.GetId(), Founded: r.group != nil}
	for _, host := range r.group.GetHosts() {
		s.Hosts = append(s.Hosts, HostStatus{ID: host.GetId(), Address: host.GetAddress(), Voter: host.GetVoter()})
	}
	r.mu.Unlock()
	f(s)
	return nil
}

// Vote implements wire.Quorum.
func (r *Relay) Vote(context.Context, *wire.VoteRequest) (*wire.VoteReply, error) {
	return nil, r.elsewhere("vote")
}

// Append implements wire.Quorum.
func (r *Relay) Append(context.Context, *wire.AppendRequest) (*wire.AppendReply, error) {
	return nil, r.elsewhere("append")
}

// Install implements wire.Quorum.
func (r *Relay) Install(context.Context, *wire.InstallRequest) (*wire.InstallReply, error) {
	return nil, r.elsewhere("install")
}

// ask asks hosts for the group at the same time, and returns what was answered
// before ctx ended.
func ask(ctx context.Context, transport Transport, id string, addresses []string) []*wire.MeetReply {
	answers := make(chan *wire.MeetReply, len(addresses))
	for _, address := range addresses {
		go (&inquiry{transport, id, address, answers}).run(ctx)
	}
	var replies []*wire.MeetReply
	for range addresses {
		if reply := <-answers; reply != nil {
			replies = append(replies, reply)
		}
	}
	return replies
}

// inquiry asks one host where the group is.
type inquiry struct {
	transport Transport
	id        string
	address   string
	answers   chan<- *wire.MeetReply
}

func (i *inquiry) run(ctx context.Context) {
	reply, err := i.transport.Meet(ctx, &wire.LogHost{Address: i.address}, &wire.MeetRequest{Id: i.id, Relay: true})
	if err != nil {
		reply = nil
	}
	i.answers <- reply
}
