package process

import (
	"context"
	"net/http"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

const (
	// smallAnswer is the memory of an answer that is covered by requestCost.
	smallAnswer = 4 << 10
	// sharedPart is the size of the parts in which WriteShared writes. A larger part is
	// that of an answer which was encoded as a whole.
	sharedPart = 16 << 10
)

// errNoAnswerMemory is the answer of a call for whose answer there is no memory. The
// client gets that of a refused request.
var errNoAnswerMemory = twirp.Unavailable.Error("the process has no memory left for the answer")

// AnswerLimits returns an option of servers of calls that charges for large answers,
// which are encoded as a whole before they are written. It holds for the given methods,
// which must only read: a call is refused after it was carried out.
func AnswerLimits(methods ...string) twirp.ServerOption {
	return twirp.WithServerInterceptors(func(call twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			reply, err := call(ctx, request)
			method, _ := twirp.MethodName(ctx)
			m, ok := reply.(proto.Message)
			if err == nil && ok && slices.Contains(methods, method) && !reserveForReply(ctx, m) {
				return nil, errNoAnswerMemory
			}
			return reply, err
		}
	})
}

// reserveForReply charges for encoding a reply, if that takes much memory.
func reserveForReply(ctx context.Context, reply proto.Message) bool {
	c := connectionOf(ctx)
	if c == nil {
		return true
	}
	n := wire.EncodingMemory(reply, c.jsonCall)
	return n <= smallAnswer || c.reserveAnswer(n)
}

// ReserveAnswer charges n bytes for the answer to the request of ctx, until it is
// written. If it returns false, the request is answered with 503 whatever the handler
// answers.
func ReserveAnswer(ctx context.Context, n int64) bool {
	c := connectionOf(ctx)
	return c == nil || c.reserveAnswer(n)
}

// WriteShared writes an answer that is in memory also without this request. The request
// is charged for the part that waits to be written.
func WriteShared(w http.ResponseWriter, b []byte) error {
	for len(b) > 0 {
		n, err := w.Write(b[:min(len(b), sharedPart)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
