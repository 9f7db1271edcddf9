package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/service"
	"skylarklane.example/lib/wire"
)

const (
	// maxChangeIDBytes bounds the length of a change id.
	maxChangeIDBytes = 128
	// maxSourceBytes bounds the size of the source document of a change.
	maxSourceBytes = 8 << 20
)

// forwardedHeader marks a call that another host has forwarded.
const forwardedHeader = "Skylarklane-Forwarded"

// headerKey is the context key of the request header of an operator's call.
type headerKey struct{}

// Publish implements wire.Control. An error means that the change may or may
// not have been accepted; retrying with the same change id returns the result.
func (c *Control) Publish(ctx context.Context, q *wire.PublishRequest) (*wire.PublishReply, error) {
	if (q.GetChangeId() == "" && q.GetDeclaredVersion() == 0) || len(q.GetChangeId()) > maxChangeIDBytes {
		return nil, twirp.InvalidArgumentError("change_id", "must have 1 to 128 bytes")
	}
	if len(q.GetSource()) > maxSourceBytes {
		return nil, twirp.InvalidArgumentError("source", "is too large")
	}
	if err := service.Check(q.GetServices(), q.GetTeams()); err != nil {
		c.countRefused(reasonInvalid)
		event.ConfigRefused.Log(ctx, c.log, append(changeAttrs(q), slog.String("reason", reasonInvalid), slog.Any("error", err))...)
		return &wire.PublishReply{Reason: reasonInvalid, Detail: err.Error()}, nil
	}
	return retry(ctx, c, proposeTimeout, publishAttemptTimeout, func(ctx context.Context) (*wire.PublishReply, error) { return c.publishOnce(ctx, q) })
}

// publishOnce proposes a change on this host, or forwards it to the leader.
func (c *Control) publishOnce(ctx context.Context, q *wire.PublishRequest) (*wire.PublishReply, error) {
	reply, err := c.propose(ctx, &wire.Command{Command: &wire.Command_Publish{Publish: q}})
	if address := c.leaderAddress(err); address != "" {
		return forward(ctx, c, address, func(ctx context.Context, leader wire.Control) (*wire.PublishReply, error) {
			return leader.Publish(ctx, q)
		})
	}
	if err != nil {
		return nil, unavailable(err)
	}
	if !reply.GetAccepted() {
		c.countRefused(reply.GetReason())
	}
	attrs := append(changeAttrs(q), slog.Uint64("version", reply.GetVersion()))
	if reply.GetAccepted() {
		event.ConfigAccepted.Log(ctx, c.log, attrs...)
	} else {
		event.ConfigRefused.Log(ctx, c.log, append(attrs, slog.String("reason", reply.GetReason()))...)
	}
	return reply, nil
}

// changeAttrs returns the log attributes that identify a change.
func changeAttrs(q *wire.PublishRequest) []slog.Attr {
	return []slog.Attr{
		slog.Uint64("declared", q.GetDeclaredVersion()), slog.String("changeId", q.GetChangeId()),
		slog.String("sourceDigest", shortDigest(q.GetSource())),
	}
}

// shortDigest returns a digest that identifies a source document in logs.
func shortDigest(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:6])
}

// retry repeats an idempotent call until it succeeds, fails with an error that
// is not retryable, or times out. A forwarded call is not repeated.
func retry[R any](ctx context.Context, c *Control, timeout, attemptTimeout time.Duration, call func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		attempt, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
		reply, err := call(attempt)
		cancelAttempt()
		if err == nil || isForwarded(ctx) || !retryable(err) {
			return reply, err
		}
		c.scope.Counter("operator_retries").Inc(1)
		select {
		case <-ctx.Done():
			return reply, err
		case <-time.After(retryDelay):
		}
	}
}

// retryable reports whether an error leaves the outcome of the call unknown.
func retryable(err error) bool {
	var e twirp.Error
	if !errors.As(err, &e) {
		return true
	}
	return e.Code() == twirp.Unavailable || e.Code() == twirp.Internal || e.Code() == twirp.DeadlineExceeded || e.Code() == twirp.Canceled
}

// isForwarded reports whether the call was forwarded by another host, which then
// also does the retries.
func isForwarded(ctx context.Context) bool {
	header, _ := ctx.Value(headerKey{}).(http.Header)
	return header.Get(forwardedHeader) != ""
}

// History implements wire.Control.
func (c *Control) History(ctx context.Context, q *wire.HistoryRequest) (*wire.HistoryReply, error) {
	var kept []*wire.KeptChange
	err := c.readAsLeader(ctx, func(s *state, _ time.Time) {
		kept = s.machine.changesSince(q.GetSince(), int(q.GetLimit()))
	})
	if address := c.leaderAddress(err); address != "" {
		if err := c.reserveForwarded(ctx); err != nil {
			return nil, err
		}
		return forward(ctx, c, address, func(ctx context.Context, leader wire.Control) (*wire.HistoryReply, error) {
			return leader.History(ctx, q)
		})
	}
	if err != nil {
		return nil, unavailable(err)
	}
	if err := reserveDecoded(ctx, kept); err != nil {
		return nil, err
	}
	changes, err := decodeChanges(kept)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &wire.HistoryReply{Changes: changes}, nil
}

// Status implements wire.Control. A host that cannot ask the leader returns
// its own state, marked as possibly outdated.
func (c *Control) Status(ctx context.Context, q *wire.StatusRequest) (*wire.StatusReply, error) {
	answer := make(chan *wire.StatusReply, 1)
	err := c.readAsLeader(ctx, func(s *state, now time.Time) {
		answer <- &wire.StatusReply{
			Directory: s.machine.directory(wire.Role_ROLE_UNSPECIFIED), Members: s.leases.status(s.machine.state.GetMembers(), now),
		}
	})
	if address := c.leaderAddress(err); address != "" {
		forwarded, err := c.statusOf(ctx, address)
		if err == nil && forwarded.GetCurrent() {
			return forwarded, nil
		}
	}
	reply := &wire.StatusReply{}
	if err == nil {
		reply = <-answer
		reply.Current = true
		if reply.GetDirectory().GetConfigVersion() == q.GetKnownConfigVersion() {
			setConfiguration(reply.GetDirectory(), &wire.Configuration{})
		}
	}
	reply.Id = c.cfg.GetId()
	completed := make(chan *wire.StatusReply, 1)
	err = c.node.ReadStatus(ctx, func(status quorum.Status) {
		c.addGroupStatus(reply, status)
		completed <- reply
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return <-completed, nil
}

// statusOf returns the status of the leader, to which this host adds the configuration
// if it has it.
func (c *Control) statusOf(ctx context.Context, leader string) (*wire.StatusReply, error) {
	own := c.state.machine.published.Load().config
	if err := reserveUnknown(ctx, own.GetVersion()); err != nil {
		return nil, err
	}
	reply, err := forward(ctx, c, leader, func(ctx context.Context, leader wire.Control) (*wire.StatusReply, error) {
		return leader.Status(ctx, &wire.StatusRequest{KnownConfigVersion: own.GetVersion()})
	})
	if err == nil && reply.GetDirectory().GetConfigVersion() == own.GetVersion() {
		setConfiguration(reply.GetDirectory(), own)
	}
	return reply, err
}

// addGroupStatus adds this host's view of the group to reply.
func (c *Control) addGroupStatus(reply *wire.StatusReply, status quorum.Status) {
	if reply.Directory == nil {
		reply.Directory = c.state.machine.directory(wire.Role_ROLE_UNSPECIFIED)
	}
	reply.Leader = status.Leader
	reply.Term = status.Term
	reply.CommitIndex = status.Commit
	for _, host := range status.Hosts {
		if host.ID == status.Leader {
			reply.LeaderAddress = host.Address
		}
		reply.Hosts = append(reply.Hosts, &wire.HostStatus{
			Id: host.ID, Address: host.Address, Voter: host.Voter, MatchIndex: host.Match, Reached: host.Reached,
		})
	}
}

// ChangeHost implements wire.Control.
func (c *Control) ChangeHost(ctx context.Context, q *wire.ChangeHostRequest) (*wire.ChangeHostReply, error) {
	if q.GetId() == "" {
		return nil, twirp.RequiredArgumentError("id")
	}
	if _, err := netip.ParseAddrPort(q.GetAddress()); err != nil && !q.GetRemove() {
		return nil, twirp.InvalidArgumentError("address", "must be an IP address and a port")
	}
	err := c.changeHost(ctx, q)
	if address := c.leaderAddress(err); address != "" {
		return forward(ctx, c, address, func(ctx context.Context, leader wire.Control) (*wire.ChangeHostReply, error) {
			return leader.ChangeHost(ctx, q)
		})
	}
	var e *quorum.Error
	switch {
	case err == nil:
		event.GroupChanged.Log(ctx, c.log, slog.String("host", q.GetId()), slog.Bool("remove", q.GetRemove()))
		return &wire.ChangeHostReply{Changed: true}, nil
	case errors.As(err, &e) && (e.Kind == quorum.KindBusy || e.Kind == quorum.KindMember):
		return &wire.ChangeHostReply{Detail: err.Error()}, nil
	default:
		return nil, unavailable(err)
	}
}

func (c *Control) changeHost(ctx context.Context, q *wire.ChangeHostRequest) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if q.GetRemove() {
		return c.node.Remove(ctx, q.GetId())
	}
	return c.node.Admit(ctx, &wire.LogHost{Id: q.GetId(), Address: q.GetAddress()})
}

func (c *Control) countRefused(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("publish_refused").Inc(1)
}

// forward sends an operator's call to the leader. A call is forwarded only
// once.
func forward[R any](ctx context.Context, c *Control, address string, call func(context.Context, wire.Control) (R, error)) (R, error) {
	var zero R
	header, _ := ctx.Value(headerKey{}).(http.Header)
	if isForwarded(ctx) {
		return zero, twirp.Unavailable.Error("call not carried out: the leader has changed")
	}
	forwarded := http.Header{}
	forwarded.Set(forwardedHeader, c.cfg.GetId())
	if token := header.Get("Authorization"); token != "" {
		forwarded.Set("Authorization", token)
	}
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, forwarded)
	if err != nil {
		return zero, twirp.InternalErrorWith(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return call(ctx, wire.NewControlProtobufClient("http://"+address, c.client))
}

// withRequestHeader stores the request header in the context, where forward and
// isForwarded need it.
func withRequestHeader(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), headerKey{}, r.Header)))
	})
}

func unavailable(err error) error {
	return twirp.Unavailable.Error(err.Error())
}
