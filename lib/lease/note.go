package lease

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Orders that a worker may leave unanswered.
const (
	orderStart = "start"
	orderStop  = "stop"
)

// note logs an event of the keeper.
func (k *Keeper) note(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), k.log, attrs...)
}

// noteRun logs an event of a run.
func (k *Keeper) noteRun(e *event.Event, r *run, attrs ...slog.Attr) {
	k.note(e, append([]slog.Attr{
		jobOf(r.key.task), slog.String("task", r.key.task), slog.Uint64("attempt", uint64(r.key.attempt)),
		slog.Uint64("run", uint64(r.number)), slog.String("entry", r.session.entry.GetId()), slog.String("worker", r.life.name),
	}, attrs...)...)
}

// noteOrder logs an event of an order for a run that may not be one of this
// agent.
func (k *Keeper) noteOrder(e *event.Event, l *life, task string, number uint32, attrs ...slog.Attr) {
	k.note(e, append([]slog.Attr{
		jobOf(task), slog.String("task", task), slog.Uint64("run", uint64(number)), slog.String("worker", l.name),
	}, attrs...)...)
}

// noteLife logs an event of a life of the worker.
func (k *Keeper) noteLife(e *event.Event, l *life, attrs ...slog.Attr) {
	k.note(e, append([]slog.Attr{slog.String("worker", l.name)}, attrs...)...)
}

// noteSession logs an event of an entry's session.
func (k *Keeper) noteSession(e *event.Event, s *session, attrs ...slog.Attr) {
	k.note(e, append([]slog.Attr{slog.String("entry", s.entry.GetId()), slog.String("peerIncarnation", s.entry.Life())}, attrs...)...)
}

func (k *Keeper) noteRefused(q *wire.LaunchRequest, key runKey, reason string) {
	k.note(event.LaunchRefused, jobOf(key.task), slog.String("task", key.task), slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", q.GetEntry().GetId()), slog.String("worker", q.GetWorker()), slog.String("reason", reason),
		freeOf(k.board.state.GetFree().GetCpuMillis()), slog.Int64("leftMillis", q.GetNotAfterMillis()-k.nowMillis()))
}

// jobOf returns the job of a task, which is named JOB.OCCURRENCE.STEP.INDEX.
func jobOf(task string) slog.Attr {
	job, _, _ := strings.Cut(task, ".")
	return slog.String("job", job)
}

func freeOf(cpuMillis int64) slog.Attr { return slog.Int64("freeCpuMillis", cpuMillis) }

func millis(key string, value time.Duration) slog.Attr {
	return slog.Int64(key, value.Milliseconds())
}

func runsOf(n int) slog.Attr { return slog.Int("running", n) }

// why returns the reason, and no attribute where there is none.
func why(reason string) slog.Attr {
	if reason == "" {
		return slog.Attr{}
	}
	return slog.String("reason", reason)
}
