package control

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/wire"
)

// evacuateAttemptTimeout bounds one attempt to change an evacuation through the
// leader. Operators wait 1 s for an answer, which leaves time for a second attempt
// after the first leader was lost.
const evacuateAttemptTimeout = 600 * time.Millisecond

// SetDataCentres replaces the names of data centres that operators may evacuate
// though no member has run there.
func (c *Control) SetDataCentres(names []string) {
	names = slices.Clone(names)
	c.dataCentres.Store(&names)
}

// Evacuate implements wire.Control. An error means that the call may or may not
// have been carried out; repeating it is safe.
func (c *Control) Evacuate(ctx context.Context, q *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	if isForwarded(ctx) {
		return c.evacuateOnce(ctx, q)
	}
	version := uint64(0)
	reply, err := unknownDataCentre(q.GetDataCentre()), error(nil)
	if isDataCentreName(q.GetDataCentre()) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		version = c.knownVersion(ctx, q.GetDataCentre())
		reply, err = c.evacuate(ctx, &wire.EvacuateRequest{
			DataCentre: q.GetDataCentre(), Finish: q.GetFinish(), BaseVersion: version,
			Listed: slices.Contains(*c.dataCentres.Load(), q.GetDataCentre()),
		})
	}
	attrs := []slog.Attr{slog.String("dataCentre", q.GetDataCentre()), slog.String("what", evacuationWord(q.GetFinish()))}
	switch {
	case err != nil:
		event.EvacuationInDoubt.Log(ctx, c.log, append(attrs, slog.Uint64("version", version), slog.Any("error", err))...)
	case !reply.GetAccepted():
		c.scope.Tagged(map[string]string{"reason": reply.GetReason()}).Counter("evacuation_refused").Inc(1)
		event.EvacuationRefused.Log(ctx, c.log, append(attrs,
			slog.Uint64("version", reply.GetDataCentre().GetVersion()), slog.String("reason", reply.GetReason()))...)
	}
	return reply, err
}

// evacuate repeats a call until it is accepted or refused, or ctx ends, which it
// does when the caller leaves. A call whose base version is outdated is repeated
// with the current one: as its caller is still waiting, it is not older than the
// change that it would undo.
func (c *Control) evacuate(ctx context.Context, q *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	for {
		reply, err := retry(ctx, c, proposeTimeout, evacuateAttemptTimeout, func(ctx context.Context) (*wire.EvacuateReply, error) {
			return c.evacuateOnce(ctx, q)
		})
		if err != nil || reply.GetReason() != reasonBaseNotInForce || ctx.Err() != nil {
			return reply, err
		}
		q = proto.CloneOf(q)
		q.BaseVersion = reply.GetDataCentre().GetVersion()
	}
}

// evacuateOnce proposes the change on this host, or forwards the call to the
// leader.
func (c *Control) evacuateOnce(ctx context.Context, q *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	reply, err := c.proposeEvacuation(ctx, q)
	if address := c.leaderAddress(err); address != "" {
		return forward(ctx, c, address, func(ctx context.Context, leader wire.Control) (*wire.EvacuateReply, error) {
			return leader.Evacuate(ctx, q)
		})
	}
	if err != nil {
		return nil, unavailable(err)
	}
	return reply, nil
}

// proposeEvacuation commits the change if this host is the leader. A name that the
// leader does not know is refused without an entry in the log. One that it knows is
// proposed as listed: hosts that started from snapshots of a former release, which
// have no data centres, then reach the same state.
func (c *Control) proposeEvacuation(ctx context.Context, q *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	name := q.GetDataCentre()
	known := false
	if err := c.readAsLeader(ctx, func(s *state, _ time.Time) { known = s.machine.dataCentre(name) != nil }); err != nil {
		return nil, err
	}
	if !known && !q.GetListed() {
		return unknownDataCentre(name), nil
	}
	value, err := c.commit(ctx, &wire.Command{Command: &wire.Command_Evacuation{Evacuation: &wire.SetEvacuation{
		DataCentre: name, Evacuated: !q.GetFinish(), BaseVersion: q.GetBaseVersion(), Listed: true,
	}}})
	if err != nil {
		return nil, err
	}
	reply, _ := value.(*wire.EvacuateReply)
	if reply.GetChanged() {
		done := event.EvacuationBegun
		if q.GetFinish() {
			done = event.EvacuationFinished
		}
		done.Log(ctx, c.log, slog.String("dataCentre", name), slog.Uint64("version", reply.GetDataCentre().GetVersion()))
	}
	return reply, nil
}

// knownVersion returns the version of a data centre that this host knows. It is 0
// if the host has no state, as a relay and a host without a running node.
func (c *Control) knownVersion(ctx context.Context, name string) uint64 {
	answer := make(chan uint64, 1)
	err := c.node.ReadStatus(ctx, func(quorum.Status) { answer <- c.state.machine.dataCentre(name).GetVersion() })
	if err != nil {
		return 0
	}
	return <-answer
}

// countEvacuated returns the number of data centres that are evacuated in this
// host's state, 0 if the host has none.
func (c *Control) countEvacuated(ctx context.Context) int {
	answer := make(chan int, 1)
	if err := c.node.ReadStatus(ctx, func(quorum.Status) { answer <- c.state.machine.evacuatedCount() }); err != nil {
		return 0
	}
	return <-answer
}

func evacuationWord(finish bool) string {
	if finish {
		return "finish"
	}
	return "begin"
}
