package job

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/wire"
)

const (
	// viewInterval is how often the directory is read and moved claims are repeated.
	viewInterval = 100 * time.Millisecond
	// probeInterval is how often a silent member is asked whether it answers again.
	probeInterval = time.Second
	// moveTime is how long an id whose owner has changed is claimed at its former owner,
	// too: until every member has learned of the change and entries have repeated their
	// claims.
	moveTime = 3 * time.Second
	// startTime is how long a member that has started claims ids at ownersAtStart agents,
	// and one that was suspended at all entries: until every member has a directory that
	// is at least as new as its own.
	startTime = 1500 * time.Millisecond
)

// Asker claims jobs for entries at the agents that own their ids. Entries and agents
// have one each.
type Asker struct {
	claims *Claims
	// entries and owners return the listed entries and agents.
	entries, owners func() []*wire.Member
	client          *http.Client
	clock           clock.Clock
	log             *slog.Logger
	// asked counts claims that were not granted at once, and calls without an answer,
	// by reason.
	asked *metric.Counters
	// grantHere decides claims at this member, and isLate reports whether this process
	// has too little processor time.
	grantHere func(id string, by *wire.Member, former *wire.Incarnation) (holder *wire.Member)
	isLate    func() bool
	// isEntry is set if this member is an entry, rather than an agent.
	isEntry bool
	// ctx ends with Run; calls to other members are made under it.
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup

	mu    sync.Mutex
	peers map[memberKey]*peer
	// view holds the agents that own ids, former those before the changes of the last
	// moveTime.
	view   *ownerView
	former []formerView
	// kept holds the claims that this member has made and that go on.
	kept map[keptKey]*keptClaim
	// listedOwners is view with the members that don't answer.
	listedOwners *ownerView
	// listed holds the entries and agents of the directory, and silent is the number of
	// agents that don't answer. lastEntries and lastAgents are the lists, and
	// silenceChanged is set if another member doesn't answer, or answers again, since.
	listed                  map[memberKey]bool
	silent                  int
	lastEntries, lastAgents []*wire.Member
	silenceChanged          bool
	// viewedAt is when the directory was last read. Until startedUntil and resumedUntil
	// more members are asked, as this process has started or was suspended.
	viewedAt     time.Duration
	startedUntil time.Duration
	resumedUntil time.Duration
}

// formerView is a view that counts until a moveTime after it was replaced.
type formerView struct {
	*ownerView
	until time.Duration
}

// NewAsker returns an asker for the member whose table claims is. entries and owners
// return the listed entries and agents, and client makes the calls to them. Run must be
// called to follow changes of the directory, by NewRegistry's registry at an entry.
func NewAsker(claims *Claims, entries, owners func() []*wire.Member, client *http.Client, c clock.Clock, log *slog.Logger, scope tally.Scope) *Asker {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Asker{
		claims: claims, entries: entries, owners: owners, client: client, clock: c, log: log,
		asked: metric.NewReasonCounters(scope, "job_claims"), isLate: func() bool { return false },
		ctx: ctx, cancel: cancel, peers: map[memberKey]*peer{}, kept: map[keptKey]*keptClaim{}, view: &ownerView{}, listedOwners: &ownerView{},
	}
	a.grantHere = func(id string, by *wire.Member, former *wire.Incarnation) *wire.Member {
		holder, _ := claims.grant(id, by, former, false)
		return holder
	}
	a.updateView()
	return a
}

// Run follows the directory until ctx ends.
func (a *Asker) Run(ctx context.Context) {
	defer a.calls.Wait()
	defer a.cancel()
	a.loop(ctx)
}

func (a *Asker) loop(ctx context.Context) {
	timer := time.NewTimer(clock.UntilNext(viewInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(clock.UntilNext(viewInterval))
			a.updateView()
			a.repeatKept()
			a.probe()
		}
	}
}

// Claim claims a job for an entry, and reports whether no other entry has it. Until ctx
// ends, the claim is repeated where the owners of the id change.
func (a *Asker) Claim(ctx context.Context, id string, by *wire.Member) bool {
	if a.ask(ctx, id, by, nil) != nil {
		return false
	}
	a.keep(ctx, id, by)
	return true
}

// ask claims an id for an entry at its owners, and at the former ones if the id has moved
// lately. If none of these answers, it asks those that own the id then. It returns the
// other entry that has the job, nil if the claim is granted.
func (a *Asker) ask(ctx context.Context, id string, by *wire.Member, former *wire.Incarnation) (holder *wire.Member) {
	if holder = a.claims.otherHolder(id, by, former); holder != nil { // claimed here by a member that asked everyone
		return holder
	}
	if !a.hasOwners() { // a directory may have arrived since it was last read
		a.updateView()
	}
	for range 2 {
		asked, everyone := a.ownersOf(id)
		if everyone {
			asked = append(asked, a.entries()...)
			a.asked.Inc("everyone")
		}
		holder, answered := a.askAll(ctx, asked, id, by, former)
		if answered || len(asked) == 0 {
			return holder
		}
		a.asked.Inc("unanswered")
	}
	return nil
}

// askOne claims an id at one member.
func (a *Asker) askOne(ctx context.Context, m *wire.Member, id string, by *wire.Member, former *wire.Incarnation) (holder *wire.Member, answered bool) {
	if a.isSelf(m) {
		return a.grantHere(id, by, former), true
	}
	p := a.peer(m)
	if a.isSilent(p) {
		return nil, false
	}
	reply, err := a.acquire(ctx, p, []string{id}, by, former)
	if err != nil {
		return nil, false
	}
	return reply.GetResults()[0].GetHolder(), true
}

// askAll claims an id at those of the list that answer, but not at the entry itself. The
// first one is asked before the others, so that of two claims at a time one is denied by
// it, rather than each by another owner. If one of the others denies the claim, those
// that have granted it are told the holder.
func (a *Asker) askAll(ctx context.Context, asked []*wire.Member, id string, by *wire.Member, former *wire.Incarnation) (holder *wire.Member, answered bool) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var granted []*wire.Member
	ask := func(m *wire.Member) {
		other, ok := a.askOne(ctx, m, id, by, former)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case other != nil:
			holder = other
		case ok:
			granted = append(granted, m)
		}
	}
	others := slices.DeleteFunc(slices.Clone(asked), func(m *wire.Member) bool { return isSame(m, by) })
	if len(others) > 0 {
		ask(others[0])
		others = others[1:]
	}
	if holder != nil {
		return holder, true
	}
	for _, m := range others {
		calls.Go(func() { ask(m) })
	}
	calls.Wait()
	if holder == nil {
		return nil, len(granted) > 0
	}
	for _, m := range granted {
		if !wire.Same(m.GetIncarnation(), holder.GetIncarnation()) {
			calls.Go(func() { a.askOne(ctx, m, id, holder, by.GetIncarnation()) })
		}
	}
	calls.Wait()
	return holder, true
}

// lookUp returns the other entry that has claimed a job at an owner of its id, nil if
// there is none or no owner answers.
func (a *Asker) lookUp(ctx context.Context, id string, by *wire.Member) *wire.Member {
	if holder := a.claims.otherHolder(id, by, nil); holder != nil {
		return holder
	}
	owners, _ := a.ownersOf(id)
	for _, owner := range owners {
		p := a.peer(owner)
		if a.isSelf(owner) || a.isSilent(p) {
			continue
		}
		reply, err := a.call(ctx, p, &wire.AcquireJobsRequest{Entry: by, Keys: []string{id}, Peek: true})
		if err == nil {
			return reply.GetResults()[0].GetHolder()
		}
	}
	return nil
}

// updateView reads the directory. Agents that leave or don't answer own no ids. Where
// many don't answer an entry, it has no processor time, and the others go on to own theirs.
func (a *Asker) updateView() {
	entries, agents := a.entries(), a.owners()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.checkSuspension(now)
	a.viewedAt = now
	for len(a.former) > 0 && now >= a.former[0].until {
		a.former = a.former[1:]
	}
	if !a.silenceChanged && slices.Equal(entries, a.lastEntries) && slices.Equal(agents, a.lastAgents) {
		return
	}
	a.silenceChanged, a.lastEntries, a.lastAgents = false, entries, agents
	a.silent = 0
	a.listed = make(map[memberKey]bool, len(entries)+len(agents))
	for _, m := range entries {
		a.listed[keyOfMember(m)] = true
	}
	var staying []*wire.Member
	for _, m := range agents {
		a.listed[keyOfMember(m)] = true
		if !a.answers(m) {
			a.silent++
		}
		if !m.GetLeaving() {
			staying = append(staying, m)
		}
	}
	a.listedOwners = newOwnerView(staying, func(*wire.Member) bool { return true })
	excluded := 0
	next := newOwnerView(staying, func(m *wire.Member) bool {
		if a.answers(m) || a.isEntry && excluded > len(agents)/8 {
			return true
		}
		excluded++
		return false
	})
	if next.equal(a.view) {
		return
	}
	if len(a.view.members) == 0 { // others may have an older directory, which this member never had
		a.startedUntil = now + startTime
	}
	a.former = append(a.former, formerView{a.view, now + moveTime})
	a.view = next
}

// isSelf reports whether a listed member is this one.
func (a *Asker) isSelf(m *wire.Member) bool {
	return m.GetIncarnation().GetId() == a.claims.listedAs().GetId()
}

// checkSuspension notes that the process was suspended, if it has not read the
// directory for long. Others may have taken claims over, or cancelled jobs whose
// requests an entry has yet to read.
func (a *Asker) checkSuspension(now time.Duration) {
	if a.viewedAt != 0 && now-a.viewedAt > maxSuspension {
		a.resumedUntil = now + startTime
	}
}

// wasSuspended reports whether this process was suspended lately, so that others may have
// decided without it.
func (a *Asker) wasSuspended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.checkSuspension(now)
	return now < a.resumedUntil
}

// ownersOf returns the agents that own an id, and those that have owned it within the
// last moveTime and answer. If none of the owners at some time does, everyone has to be
// asked: only the entry that runs the job may know of it. That is left out where many
// agents don't answer, as this member is cut off or has no processor time.
func (a *Asker) ownersOf(id string) (owners []*wire.Member, everyone bool) {
	late := a.isLate()
	a.mu.Lock()
	defer a.mu.Unlock()
	hash := hashOf(id)
	now := a.clock.Now()
	a.checkSuspension(now)
	n := ownersPerID
	if now < a.startedUntil {
		n = ownersAtStart
	}
	owners = a.view.owners(hash, n)
	everyone = !slices.ContainsFunc(owners, a.answers) || now < a.resumedUntil
	for _, view := range a.former {
		if now >= view.until {
			continue
		}
		then := view.owners(hash, ownersPerID)
		lost := len(then) > 0
		for _, m := range then {
			if !a.answers(m) {
				continue
			}
			lost = false
			if !contains(owners, m) {
				owners = append(owners, m)
			}
		}
		everyone = everyone || lost && a.silent <= 1+len(a.view.members)/8 && !late
	}
	return owners, everyone
}

// hasOwners reports whether this member knows of an agent that owns ids.
func (a *Asker) hasOwners() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.view.members) > 0
}

// listedOwnersOf returns the agents that own an id if all answer.
func (a *Asker) listedOwnersOf(id string) []*wire.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listedOwners.owners(hashOf(id), ownersPerID)
}

// answers reports whether a member is listed and has answered the last call, if there
// was one.
func (a *Asker) answers(m *wire.Member) bool {
	p := a.peers[keyOfMember(m)]
	return a.listed[keyOfMember(m)] && (p == nil || !p.silent)
}

func (a *Asker) logEvent(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), a.log, attrs...)
}
