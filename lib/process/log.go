// Package process holds what every program of the system does alike: it logs,
// serves HTTP, waits for signals and shuts down.
package process

import (
	"context"
	"io"
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// closeTimeout bounds how long the end of a process waits for its log's reader.
const closeTimeout = time.Second

// Attributes that tell the lines of processes apart.
const (
	logProcess     = "process"
	logIncarnation = "incarnation"
)

// NewLogger returns a logger whose messages start with the name of the part,
// such as "entry: ". Lines are JSON where json is set, else text. Each line is
// written before the call returns.
func NewLogger(w io.Writer, part string, json bool) *slog.Logger {
	return slog.New(prefixHandler{Handler: newLineHandler(w, json), prefix: part + ": "})
}

// newLineHandler returns a handler that writes one line for each record.
func newLineHandler(w io.Writer, json bool) slog.Handler {
	if json {
		return slog.NewJSONHandler(w, nil)
	}
	return slog.NewTextHandler(w, nil)
}

// Log is the log of a daemon. Its logger never waits for the reader of the
// lines: a bounded queue leads to the one goroutine that writes. Lines are left
// out under load, successes first, and counted.
type Log struct {
	core   *logCore
	writer *logWriter
	logger *slog.Logger
}

// OpenLog starts a log that writes to w. Close ends it.
func OpenLog(w io.Writer, part string, json bool) *Log {
	return openLog(w, part, json, queueLimits{lines: maxQueuedLines, bytes: maxQueuedBytes})
}

func openLog(w io.Writer, part string, json bool, limits queueLimits) *Log {
	core := newLogCore(part, json, limits)
	writer := newLogWriter(w, core)
	go writer.run()
	return &Log{core: core, writer: writer, logger: slog.New(newBoundedHandler(core))}
}

// Logger returns the logger.
func (l *Log) Logger() *slog.Logger { return l.logger }

// Close writes what is queued, waits at most timeout for that, and tells
// whether all was written. Later lines are left out.
func (l *Log) Close(timeout time.Duration) bool {
	l.core.queue.close()
	select {
	case <-l.writer.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Stop writes the last line of a process, which ended by err or in good order,
// closes the log and returns the exit code.
func (l *Log) Stop(err error) int {
	code := ExitOK
	if err != nil {
		code = ExitFailed
		event.Failed.Log(context.Background(), l.logger, slog.Any("error", err))
	} else {
		event.Stopped.Log(context.Background(), l.logger)
	}
	l.Close(closeTimeout)
	return code
}

// Identify returns a logger whose lines name the process and its incarnation.
// Where log is that of a daemon, all its lines do from now on.
func Identify(log *slog.Logger, who *wire.Incarnation) *slog.Logger {
	attrs := []slog.Attr{
		slog.String(logProcess, who.GetId()),
		slog.String(logIncarnation, who.Life()),
	}
	if h, ok := log.Handler().(*boundedHandler); ok {
		h.core.identity.Store(&attrs)
		return log
	}
	return slog.New(log.Handler().WithAttrs(attrs))
}

// prefixHandler puts a fixed prefix before each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
