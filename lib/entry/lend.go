package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// borrowWait is how long an entry without a surplus keeps a request.
	borrowWait = time.Second
	// borrowTimeout bounds one call.
	borrowTimeout = borrowWait + time.Second
	// gatherTime is how long a lender gathers tokens for one reply.
	gatherTime = 2 * time.Millisecond
	// borrowDelay is the time until the next request after one without reply.
	borrowDelay = 100 * time.Millisecond
	// maxBorrow bounds the tokens of one reply.
	maxBorrow = 512
)

// borrower is a request of another entry that waits for tokens.
type borrower struct {
	request *wire.BorrowRequest
	tokens  []*wire.Token
	full    chan struct{}
	once    sync.Once
}

func (b *borrower) ask() placement.Ask {
	given := len(b.tokens)
	return placement.Ask{
		Held:    int(b.request.GetHeld()) + given,
		Urgency: min(b.request.GetUrgency(), wire.Urgency_URGENCY_URGENT),
		Queued:  min(int(b.request.GetWant()), maxBorrow) - given,
	}
}

// lendTo answers a request for tokens.
func (d *dispatcher) lendTo(ctx context.Context, q *wire.BorrowRequest) *wire.BorrowReply {
	b := &borrower{request: q, full: make(chan struct{})}
	d.mu.Lock()
	if d.fleet.peers[incarnationOf(q.GetEntry())] == nil {
		d.mu.Unlock()
		d.scope.Tagged(map[string]string{"reason": "borrowerNotMember"}).Counter("lendings_refused").Inc(1)
		return &wire.BorrowReply{}
	}
	k := d.desk(q.GetService())
	k.borrowers = append(k.borrowers, b)
	d.lend(k)
	d.mu.Unlock()
	wait := time.NewTimer(min(time.Duration(q.GetWaitMillis())*time.Millisecond, borrowWait))
	defer wait.Stop()
	select {
	case <-b.full:
	case <-wait.C:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k.forget(b)
	if ctx.Err() != nil {
		d.keep(k, b)
	}
	return &wire.BorrowReply{Tokens: b.tokens}
}

// keep takes tokens back whose borrower has hung up.
func (d *dispatcher) keep(k *desk, b *borrower) {
	d.accept(b.tokens)
	b.tokens = nil
}

// lend gives idle tokens to the entries that wait for some.
func (d *dispatcher) lend(k *desk) {
	if len(k.borrowers) == 0 {
		return
	}
	now := time.Now()
	for _, b := range k.borrowers {
		n := placement.Lend(k.demand(), b.ask())
		if n <= 0 {
			continue
		}
		first := len(b.tokens) == 0
		d.give(k, b, n, now)
		b.reply(first)
	}
}

// reply sends the tokens once they are all that was asked for, or some time
// after the first one.
func (b *borrower) reply(first bool) {
	switch {
	case b.ask().Queued <= 0:
		b.once.Do(func() { close(b.full) })
	case first:
		time.AfterFunc(gatherTime, func() { b.once.Do(func() { close(b.full) }) })
	}
}

func (d *dispatcher) give(k *desk, b *borrower, n int, now time.Time) {
	for range n {
		h := k.pool.fastest(now)
		if h == nil {
			return
		}
		left := h.until.Sub(now).Milliseconds()
		b.tokens = append(b.tokens, &wire.Token{
			Agent:         h.token.GetAgent(),
			BackendServer: h.token.GetBackendServer(),
			Service:       h.token.GetService(),
			Number:        h.token.GetNumber(),
			LeaseMillis:   left,
		})
		d.void(h)
	}
}

func (k *desk) forget(b *borrower) {
	for n, other := range k.borrowers {
		if other == b {
			k.borrowers = append(k.borrowers[:n], k.borrowers[n+1:]...)
			return
		}
	}
}

// loanID names the calls to one entry for one urgency.
type loanID struct {
	peer    incarnation
	urgency wire.Urgency
}

// borrow asks the other entries for tokens, with one call at a time to each
// for an urgency that lacks some.
func (d *dispatcher) borrow(k *desk) {
	for urgency := range wire.Urgency(levels) {
		if !k.lacks(urgency) {
			continue
		}
		for peer, p := range d.fleet.peers {
			id := loanID{peer: peer, urgency: urgency}
			if k.borrowing[id] {
				continue
			}
			k.borrowing[id] = true
			l := &loan{d: d, k: k, id: id, peer: p}
			go l.loop()
		}
	}
}

// loan asks one other entry for tokens as long as a desk lacks some.
type loan struct {
	d    *dispatcher
	k    *desk
	id   loanID
	peer *peer
}

func (l *loan) loop() {
	for {
		request := l.next()
		if request == nil {
			return
		}
		if !l.call(request) {
			time.Sleep(borrowDelay)
		}
	}
}

// next returns the next request, or nil where the desk lacks nothing.
func (l *loan) next() *wire.BorrowRequest {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.follow()
	if !l.k.lacks(l.id.urgency) || l.d.fleet.peers[l.id.peer] != l.peer {
		delete(l.k.borrowing, l.id)
		return nil
	}
	return &wire.BorrowRequest{
		Entry:      l.d.self,
		Service:    l.k.service,
		Urgency:    l.id.urgency,
		Want:       uint32(l.k.queue.waiting[l.id.urgency]),
		Held:       uint32(l.k.pool.held),
		WaitMillis: borrowWait.Milliseconds(),
	}
}

// call makes one request. It returns false where there was no reply.
func (l *loan) call(request *wire.BorrowRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	reply, err := l.peer.client.Borrow(ctx, request)
	if err != nil {
		return false
	}
	if len(reply.GetTokens()) == 0 {
		l.d.scope.Counter("borrowings_in_vain").Inc(1)
		return true
	}
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.accept(reply.GetTokens())
	return true
}
