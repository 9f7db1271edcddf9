package entry

import (
	"context"

	"skylarklane.example/lib/wire"
)

// Offer implements wire.Entry.
func (e *Entry) Offer(_ context.Context, q *wire.OfferRequest) (*wire.OfferReply, error) {
	reply := e.dispatcher.offer(q)
	if reply.GetDeclined() {
		e.metrics.Scope().Counter("offers_declined").Inc(1)
	}
	return reply, nil
}

// Borrow implements wire.Entry.
func (e *Entry) Borrow(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return e.dispatcher.handleBorrow(ctx, q), nil
}
