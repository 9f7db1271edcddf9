package job

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// acquireTimeout bounds a claim at another member.
	acquireTimeout = 150 * time.Millisecond
	// maxTimerLag is by how much the end of that time may be noticed late for the other
	// member to count as silent.
	maxTimerLag = 50 * time.Millisecond
	// joinWait is how long a call waits at another entry for the outcome of a job, and
	// joinSlack is added to it for the timeout of the call.
	joinWait  = 300 * time.Millisecond
	joinSlack = 150 * time.Millisecond
	// minSilence is how long an agent that did not answer owns no ids.
	minSilence = 2 * time.Second
	// peerRetention is how long an entry that is listed no more is remembered.
	peerRetention = time.Minute
)

// peer is an incarnation of another entry or of an agent. The mutex of the asker guards it.
type peer struct {
	member   *wire.Member
	client   *http.Client
	registry wire.Registry
	// silent is set while the entry does not answer, since silentSince. The last answer
	// came at answeredAt.
	silent      bool
	silentSince time.Duration
	answeredAt  time.Duration
	probing     bool
	usedAt      time.Duration
}

// peer returns the state of another member.
func (a *Asker) peer(m *wire.Member) *peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := keyOfMember(m)
	p := a.peers[key]
	if p == nil {
		client := withOwnPool(a.client)
		p = &peer{member: m, client: client, registry: wire.NewRegistryProtobufClient("http://"+m.GetAddress(), client)}
		a.peers[key] = p
	}
	p.usedAt = a.clock.Now()
	return p
}

// memberKey identifies an incarnation of an entry.
type memberKey struct {
	id     string
	number uint64
}

func keyOfMember(m *wire.Member) memberKey {
	return memberKey{m.GetIncarnation().GetId(), m.GetIncarnation().GetNumber()}
}

// acquire claims jobs for an entry at a peer. Without keys it only finds out whether the
// peer answers.
func (a *Asker) acquire(ctx context.Context, p *peer, keys []string, by *wire.Member, former *wire.Incarnation) (*wire.AcquireJobsReply, error) {
	return a.call(ctx, p, &wire.AcquireJobsRequest{Entry: by, Keys: keys, Former: former})
}

// call makes a call about claims to a peer.
func (a *Asker) call(ctx context.Context, p *peer, q *wire.AcquireJobsRequest) (*wire.AcquireJobsReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	q.Asked = p.member.GetIncarnation()
	began := a.clock.Now()
	reply, err := p.registry.AcquireJobs(callCtx, q)
	if err == nil && len(reply.GetResults()) != len(q.GetKeys()) {
		err = errIncompleteReply
	}
	if err != nil && a.clock.Now()-began > acquireTimeout+maxTimerLag { // this process was not running
		return reply, err
	}
	if err != nil && ctx.Err() == nil {
		a.asked.Inc("noReply")
	}
	a.recordAnswer(ctx, p, err)
	return reply, err
}

// joinAt asks a peer for the outcome of a job, for which an entry waits.
func (a *Asker) joinAt(ctx context.Context, p *peer, id string, by *wire.Member) (*wire.JoinJobReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, joinWait+joinSlack)
	defer cancel()
	reply, err := p.registry.JoinJob(callCtx, &wire.JoinJobRequest{
		Asked: p.member.GetIncarnation(), Entry: by, Key: id, WaitMillis: joinWait.Milliseconds(),
	})
	a.recordAnswer(ctx, p, err)
	return reply, err
}

// recordAnswer records whether a peer has answered a call, unless ctx has ended the
// call.
func (a *Asker) recordAnswer(ctx context.Context, p *peer, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	now := a.clock.Now()
	if err == nil {
		p.answeredAt = now
	}
	silence := now - p.silentSince
	if p.silent && silence < minSilence { // an overloaded member answers now and then
		a.mu.Unlock()
		return
	}
	changed := p.silent != (err != nil)
	a.silenceChanged = a.silenceChanged || changed
	p.silent = err != nil
	if p.silent && changed {
		p.silentSince = now
	}
	a.mu.Unlock()
	if !changed {
		return
	}
	a.updateView()
	member := slog.String("member", p.member.GetIncarnation().GetId())
	if err == nil {
		a.logEvent(event.PeerRegained, member, millis("silentMillis", silence))
		return
	}
	if _, ok := p.client.Transport.(*http.Transport); ok {
		p.client.CloseIdleConnections()
	}
	a.logEvent(event.PeerSilent, member, slog.Any("error", err))
}

func (a *Asker) isSilent(p *peer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.silent
}

// silence returns for how long a peer has not answered.
func (a *Asker) silence(p *peer) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !p.silent {
		return 0
	}
	return a.clock.Now() - max(p.silentSince, p.answeredAt)
}

// probe asks the peers that are silent whether they answer again, and forgets those
// that are listed no more.
func (a *Asker) probe() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for key, p := range a.peers {
		switch {
		case !a.listed[key] && now-p.usedAt > peerRetention:
			delete(a.peers, key)
		case a.listed[key] && p.silent && !p.probing && now-p.silentSince >= minSilence:
			p.probing = true
			a.calls.Go(func() { a.probeOne(p) })
		}
	}
}

func (a *Asker) probeOne(p *peer) {
	_, err := a.acquire(a.ctx, p, nil, nil, nil)
	if err != nil {
		sleep(a.ctx, probeInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p.probing = false
}
