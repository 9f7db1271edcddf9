package entry

import (
	"context"

	"skylarklane.example/lib/wire"
)

// Offer implements wire.Entry.
func (e *Entry) Offer(_ context.Context, q *wire.OfferRequest) (*wire.OfferReply, error) {
	return e.dispatcher.offer(q), nil
}

// Borrow implements wire.Entry.
func (e *Entry) Borrow(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return e.dispatcher.lendTo(ctx, q), nil
}
