package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// borrowLongPoll is how long an entry without surplus tokens delays its reply
	// to Borrow.
	borrowLongPoll = time.Second
	// borrowTimeout bounds one Borrow call.
	borrowTimeout = borrowLongPoll + time.Second
	// batchDelay is how long a lender collects tokens for one reply, counted
	// from the first token.
	batchDelay = 2 * time.Millisecond
	// borrowRetryDelay is the time between a failed Borrow call and the next one.
	borrowRetryDelay = 100 * time.Millisecond
	// maxBorrow bounds the tokens of one reply.
	maxBorrow = 512
)

// borrower is a pending Borrow request of another entry.
type borrower struct {
	request *wire.BorrowRequest
	tokens  []*wire.Token
	// ready is closed, through once, when the reply is due.
	ready chan struct{}
	once  sync.Once
}

// shortage returns what the borrower still lacks.
func (b *borrower) shortage() placement.Shortage {
	given := len(b.tokens)
	return placement.Shortage{
		Held:    int(b.request.GetHeld()) + given,
		Urgency: min(b.request.GetUrgency(), wire.Urgency_URGENCY_URGENT),
		Queued:  min(int(b.request.GetWant()), maxBorrow) - given,
	}
}

// handleBorrow answers a Borrow request. It waits until the request is met, but
// at most borrowLongPoll.
func (d *dispatcher) handleBorrow(ctx context.Context, q *wire.BorrowRequest) *wire.BorrowReply {
	b := &borrower{request: q, ready: make(chan struct{})}
	d.mu.Lock()
	if d.fleet.peers[incarnationOf(q.GetEntry())] == nil {
		d.mu.Unlock()
		d.scope.Tagged(map[string]string{"reason": "borrowerNotMember"}).Counter("lendings_refused").Inc(1)
		return &wire.BorrowReply{}
	}
	svc := d.serviceState(q.GetService())
	svc.borrowers = append(svc.borrowers, b)
	d.lend(svc)
	d.mu.Unlock()
	wait := time.NewTimer(min(time.Duration(q.GetWaitMillis())*time.Millisecond, borrowLongPoll))
	defer wait.Stop()
	select {
	case <-b.ready:
	case <-wait.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	svc.removeBorrower(b)
	if ctx.Err() != nil {
		d.reclaimLent(svc, b)
	}
	return &wire.BorrowReply{Tokens: b.tokens}
}

// reclaimLent takes back the tokens of a borrower whose request was cancelled.
func (d *dispatcher) reclaimLent(svc *serviceState, b *borrower) {
	d.addTokens(b.tokens)
	b.tokens = nil
}

// lend transfers idle tokens to the pending borrowers.
func (d *dispatcher) lend(svc *serviceState) {
	if len(svc.borrowers) == 0 {
		return
	}
	now := time.Now()
	for _, b := range svc.borrowers {
		n := placement.Lend(svc.demand(), b.shortage())
		if n <= 0 {
			continue
		}
		first := len(b.tokens) == 0
		d.transfer(svc, b, n, now)
		b.scheduleReply(first)
	}
}

// scheduleReply sends the reply now if the request is met in full, or else
// batchDelay after the first token.
func (b *borrower) scheduleReply(first bool) {
	switch {
	case b.shortage().Queued <= 0:
		b.once.Do(func() { close(b.ready) })
	case first:
		time.AfterFunc(batchDelay, func() { b.once.Do(func() { close(b.ready) }) })
	}
}

// transfer passes up to n idle tokens to a borrower and discards them here.
func (d *dispatcher) transfer(svc *serviceState, b *borrower, n int, now time.Time) {
	for range n {
		h := svc.pool.takeFastest(now)
		if h == nil {
			return
		}
		timeLeft := h.until.Sub(now).Milliseconds()
		b.tokens = append(b.tokens, &wire.Token{
			Agent:         h.token.GetAgent(),
			BackendServer: h.token.GetBackendServer(),
			Service:       h.token.GetService(),
			Number:        h.token.GetNumber(),
			LeaseMillis:   timeLeft,
		})
		d.discard(h)
	}
}

func (svc *serviceState) removeBorrower(b *borrower) {
	for n, other := range svc.borrowers {
		if other == b {
			svc.borrowers = append(svc.borrowers[:n], svc.borrowers[n+1:]...)
			return
		}
	}
}

// borrowID identifies the Borrow calls of a service to one entry for one urgency.
type borrowID struct {
	peer    incarnation
	urgency wire.Urgency
}

// borrow requests tokens from the other entries for each urgency that lacks
// them, with at most one call in flight per entry and urgency.
func (d *dispatcher) borrow(svc *serviceState) {
	for urgency := range wire.Urgency(levels) {
		if !svc.needsTokens(urgency) {
			continue
		}
		for peer, p := range d.fleet.peers {
			id := borrowID{peer: peer, urgency: urgency}
			if svc.borrowing[id] {
				continue
			}
			svc.borrowing[id] = true
			l := &borrowCall{d: d, svc: svc, id: id, peer: p}
			go l.loop()
		}
	}
}

// borrowCall requests tokens from one other entry for as long as the service
// lacks them.
type borrowCall struct {
	d    *dispatcher
	svc  *serviceState
	id   borrowID
	peer *peer
}

func (c *borrowCall) loop() {
	for {
		request := c.next()
		if request == nil {
			return
		}
		if !c.call(request) {
			time.Sleep(borrowRetryDelay)
		}
	}
}

// next returns the next request, or nil if no more tokens are needed.
func (c *borrowCall) next() *wire.BorrowRequest {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.d.syncDirectory()
	if !c.svc.needsTokens(c.id.urgency) || c.d.fleet.peers[c.id.peer] != c.peer {
		delete(c.svc.borrowing, c.id)
		return nil
	}
	return &wire.BorrowRequest{
		Entry:      c.d.self,
		Service:    c.svc.service,
		Urgency:    c.id.urgency,
		Want:       uint32(c.svc.queue.waiting[c.id.urgency]),
		Held:       uint32(c.svc.held()),
		WaitMillis: borrowLongPoll.Milliseconds(),
	}
}

// call makes one request. It returns false if the call failed.
func (c *borrowCall) call(request *wire.BorrowRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	reply, err := c.peer.client.Borrow(ctx, request)
	if err != nil {
		return false
	}
	if len(reply.GetTokens()) == 0 {
		c.d.scope.Counter("borrowings_in_vain").Inc(1)
		return true
	}
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.d.addTokens(reply.GetTokens())
	return true
}
