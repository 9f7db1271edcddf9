package entry

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// seekWait is how long a job waits for faster slots of other entries.
	seekWait = 5 * time.Millisecond
	// seekRun is the run time below which that isn't worth a message.
	seekRun = 20 * time.Millisecond
	// seekGain is how much faster the best worker must be than the best idle
	// one.
	seekGain = 1.3
)

// seek asks the other entries, once for a job, for idle slots that are faster
// than h. It returns true while the job waits for the replies.
func (d *dispatcher) seek(r *run, h *held) bool {
	if r.sought || len(d.fleet.peers) == 0 || !r.kind.learned() {
		return r.seeking > 0
	}
	k := r.desk
	factor := h.server.speed.Value() / seekGain
	limit := time.Duration(float64(r.kind.times.Duration()) * factor)
	if limit < seekRun || k.best == 0 || factor < k.best {
		return false
	}
	r.sought = true
	if !k.odds.Worth(r.order) {
		return false
	}
	request := &wire.BorrowRequest{
		Entry:        d.self,
		Service:      k.service,
		Urgency:      r.urgency,
		Want:         uint32(len(r.ready)),
		Held:         uint32(k.pool.held),
		Kind:         r.kind.name,
		FasterMicros: limit.Microseconds(),
	}
	for _, p := range d.fleet.peers {
		r.seeking++
		s := &search{d: d, r: r, peer: p, request: request}
		go s.run()
	}
	time.AfterFunc(seekWait, func() { d.giveUp(r) })
	return true
}

// compare notes the factor of the fastest backend server of each desk.
func (d *dispatcher) compare() {
	for _, k := range d.desks {
		k.best = 0
	}
	for _, a := range d.fleet.agents {
		for _, s := range a.servers {
			if s.runs == 0 || s.health.Ejected() {
				continue
			}
			if factor := s.speed.Value(); s.desk.best == 0 || factor < s.desk.best {
				s.desk.best = factor
			}
		}
	}
}

// search asks one other entry for faster slots.
type search struct {
	d       *dispatcher
	r       *run
	peer    *peer
	request *wire.BorrowRequest
}

func (s *search) run() {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	reply, err := s.peer.client.Borrow(ctx, s.request)
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	found := err == nil && len(reply.GetTokens()) > 0
	k := s.r.desk
	k.odds = k.odds.WithResult(found)
	if !found {
		s.d.scope.Counter("borrowings_in_vain").Inc(1)
	}
	s.r.seeking = max(0, s.r.seeking-1)
	s.d.accept(reply.GetTokens())
	s.d.dispatch(k)
}

// giveUp ends a job's wait for replies.
func (d *dispatcher) giveUp(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.seeking = 0
	d.dispatch(r.desk)
}

// lendFaster passes idle tokens on whose workers are fast enough, where no task
// waits here.
func (d *dispatcher) lendFaster(q *wire.BorrowRequest) *wire.BorrowReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.desk(q.GetService())
	kind := k.kinds[q.GetKind()]
	if kind == nil || !kind.learned() || k.queue.tasks > 0 {
		return &wire.BorrowReply{}
	}
	now := time.Now()
	reply := &wire.BorrowReply{}
	for range min(q.GetWant(), maxBorrow) {
		h := k.pool.fastest(now)
		if h == nil {
			break
		}
		run := time.Duration(float64(kind.times.Duration()) * h.server.speed.Value())
		if run.Microseconds() >= q.GetFasterMicros() {
			k.pool.put(h)
			break
		}
		reply.Tokens = append(reply.Tokens, h.lent(now))
		d.void(h)
	}
	return reply
}
