// Package process provides what all programs of the system share: logging, HTTP
// servers and clients, TLS, signal handling and shutdown.
package process

import (
	"context"
	"io"
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// closeTimeout bounds how long an ending process waits for its log to be
// written.
const closeTimeout = time.Second

// Attributes that identify the process and incarnation that logged a line.
const (
	logProcess     = "process"
	logIncarnation = "incarnation"
)

// NewLogger returns a logger whose messages start with the name of the part,
// such as "entry: ". Lines are JSON if json is set, else text. Each line is
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

// Log is the log of a daemon. Its logger never blocks on the output: lines go
// through a bounded queue to a single writing goroutine. Under load lines are
// dropped, successes first, and the dropped lines are counted.
type Log struct {
	core   *logCore
	writer *logWriter
	logger *slog.Logger
}

// OpenLog starts a log that writes to w. Close stops it.
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

// Close waits until the queued lines are written, at most for timeout, and
// reports whether all were. Lines logged later are dropped.
func (l *Log) Close(timeout time.Duration) bool {
	l.core.queue.close()
	select {
	case <-l.writer.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Stop logs the end of the process, a failure if err is not nil, closes the log
// and returns the exit code.
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

// Identify returns a logger whose lines have the id and incarnation of the
// process. If log belongs to a Log, all later lines of that Log have them.
func Identify(log *slog.Logger, who *wire.Incarnation) *slog.Logger {
	attrs := []slog.Attr{
		slog.String(logProcess, who.GetId()),
		slog.String(logIncarnation, who.HexNumber()),
	}
	if h, ok := log.Handler().(*boundedHandler); ok {
		h.core.identity.Store(&attrs)
		return log
	}
	return slog.New(log.Handler().WithAttrs(attrs))
}

// prefixHandler adds a fixed prefix to each message.
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
