package lease

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/event"
)

// tell logs one event.
func (k *Keeper) tell(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), k.log, attrs...)
}

// tellRun logs one event of a run.
func (k *Keeper) tellRun(e *event.Event, r *run, attrs ...slog.Attr) {
	k.tell(e, append([]slog.Attr{
		slog.String("task", r.key.task),
		slog.Uint64("attempt", uint64(r.key.attempt)),
		slog.Uint64("run", uint64(r.number)),
		slog.String("entry", r.session.entry.GetId()),
		slog.String("worker", r.life.said.ID),
	}, attrs...)...)
}

// tellLife logs one event of a worker's life.
func (k *Keeper) tellLife(e *event.Event, l *life, attrs ...slog.Attr) {
	k.tell(e, append([]slog.Attr{
		slog.String("worker", l.said.ID),
		slog.Int64("life", l.said.Born),
	}, attrs...)...)
}

// tellSession logs one event of a session.
func (k *Keeper) tellSession(e *event.Event, s *session, attrs ...slog.Attr) {
	k.tell(e, append([]slog.Attr{
		slog.String("entry", s.entry.GetId()),
		slog.Uint64("peerIncarnation", s.entry.GetNumber()),
	}, attrs...)...)
}

// tellUnanswered logs that an order got no answer, and bars it should it come
// after a later one.
func (k *Keeper) tellUnanswered(l *life, what string, at Running, tries int, err error) {
	k.fence.pass()
	k.metrics.retries.Inc(what + "Unanswered")
	k.tell(event.OrderUnanswered,
		slog.String("task", at.Task),
		slog.Uint64("run", uint64(at.Run)),
		slog.String("worker", l.said.ID),
		slog.String("what", what),
		slog.Int("tries", tries),
		slog.String("error", err.Error()))
}

// tellRefused logs that the worker refused an order.
func (k *Keeper) tellRefused(l *life, what string, at Running, refusal Refusal) {
	k.metrics.orderRefusals.Inc(string(refusal))
	k.tell(event.OrderRefused,
		slog.String("task", at.Task),
		slog.Uint64("run", uint64(at.Run)),
		slog.String("worker", l.said.ID),
		slog.String("what", what),
		reasonAttr(string(refusal)),
		amountAttr("free", l.free()))
}

func reasonAttr(reason string) slog.Attr {
	if reason == "" {
		return slog.Attr{}
	}
	return slog.String("reason", reason)
}

func millisAttr(key string, d time.Duration) slog.Attr {
	return slog.Int64(key, d.Milliseconds())
}

func amountAttr(key string, v capacity.Vector) slog.Attr {
	return slog.String(key, fmt.Sprintf("%d,%d,%d", v.CPUMillis, v.MemoryMB, v.Accelerators))
}
