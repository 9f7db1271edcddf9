package lease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/event"
)

func (m *Manager) logEvent(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), m.log, attrs...)
}

// logRun logs an event of a run.
func (m *Manager) logRun(e *event.Event, r *run, attrs ...slog.Attr) {
	m.logEvent(e, append([]slog.Attr{
		slog.String("task", r.key.task),
		slog.Uint64("attempt", uint64(r.key.attempt)),
		slog.Uint64("run", uint64(r.number)),
		slog.String("entry", r.session.entry.GetId()),
		slog.String("worker", r.incarnation.announcement.ID),
	}, attrs...)...)
}

// logIncarnation logs an event of an incarnation of the worker.
func (m *Manager) logIncarnation(e *event.Event, inc *incarnation, attrs ...slog.Attr) {
	m.logEvent(e, append([]slog.Attr{
		slog.String("worker", inc.announcement.ID),
		slog.Int64("life", inc.announcement.Born),
	}, attrs...)...)
}

// logSession logs an event of a session.
func (m *Manager) logSession(e *event.Event, s *session, attrs ...slog.Attr) {
	m.logEvent(e, append([]slog.Attr{
		slog.String("entry", s.entry.GetId()),
		slog.Uint64("peerIncarnation", s.entry.GetNumber()),
	}, attrs...)...)
}

// recordUnansweredOrder logs and counts an unanswered order, and increments the
// fence so that the worker refuses the order if it arrives after a later one.
func (m *Manager) recordUnansweredOrder(inc *incarnation, order string, id Running, tries int, err error) {
	m.fence.increment()
	m.metrics.retries.Inc(order + "Unanswered")
	m.logEvent(event.OrderUnanswered,
		slog.String("task", id.Task),
		slog.Uint64("run", uint64(id.Run)),
		slog.String("worker", inc.announcement.ID),
		slog.String("what", order),
		slog.Int("tries", tries),
		slog.String("error", err.Error()))
	m.noteCallError(inc, err)
}

// noteCallError records that a call to the worker failed, unless it timed out.
func (m *Manager) noteCallError(inc *incarnation, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		inc.recordDisconnect(m.monotonic())
	}
}

// logOrderRefused logs and counts that the worker refused an order.
func (m *Manager) logOrderRefused(inc *incarnation, order string, id Running, refusal Refusal) {
	m.metrics.orderRefusals.Inc(string(refusal))
	m.logEvent(event.OrderRefused,
		slog.String("task", id.Task),
		slog.Uint64("run", uint64(id.Run)),
		slog.String("worker", inc.announcement.ID),
		slog.String("what", order),
		reasonAttr(string(refusal)),
		resourcesAttr("free", inc.free()))
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

func resourcesAttr(key string, v capacity.Vector) slog.Attr {
	return slog.String(key, fmt.Sprintf("%d,%d,%d", v.CPUMillis, v.MemoryMB, v.Accelerators))
}
