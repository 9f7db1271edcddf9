package process

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
)

const (
	// flushDelay is how long lines wait for others to be written with them.
	flushDelay = 100 * time.Millisecond
	// maxWriteBytes is about how much is written at once.
	maxWriteBytes = 64 << 10
	// leftOutInterval is how often the log tells what was left out.
	leftOutInterval = time.Second
)

// logWriter writes the queued lines.
type logWriter struct {
	w    io.Writer
	core *logCore
	done chan struct{}
	// nextReport is when the lines left out may be told again.
	nextReport time.Time
}

func newLogWriter(w io.Writer, core *logCore) *logWriter {
	return &logWriter{w: w, core: core, done: make(chan struct{})}
}

// run writes until the queue is closed and empty.
func (w *logWriter) run() {
	defer close(w.done)
	var b []byte
	for !w.core.queue.ended() {
		w.wait()
		w.core.clock.refresh()
		b = w.core.queue.take(b[:0], maxWriteBytes)
		b = append(b, w.report(time.Now())...)
		w.write(b)
	}
	w.nextReport = time.Time{}
	w.write(w.report(time.Now()))
}

// wait returns once there is something to write.
func (w *logWriter) wait() {
	var report <-chan time.Time
	if w.core.leftOut.any() {
		report = time.After(time.Until(w.nextReport))
	}
	select {
	case <-w.core.queue.wake:
	case <-report:
		return
	}
	select {
	case <-w.core.queue.urgent:
	case <-time.After(flushDelay):
	}
}

// report returns a line that tells which lines were left out, if that is due.
func (w *logWriter) report(now time.Time) []byte {
	if now.Before(w.nextReport) || !w.core.leftOut.any() {
		return nil
	}
	w.nextReport = now.Add(leftOutInterval)
	r := slog.NewRecord(now, event.LinesLeftOut.Level(), event.LinesLeftOut.Sentence(), 0)
	r.AddAttrs(slog.Any(event.Key, event.LinesLeftOut))
	r.AddAttrs(w.core.leftOut.take()...)
	w.core.complete(&r, w.core.clock.millis())
	var line bytes.Buffer
	_ = newLineHandler(&line, w.core.json).Handle(context.Background(), r)
	return line.Bytes()
}

// write writes b; lines that can't be written are lost.
func (w *logWriter) write(b []byte) {
	if len(b) == 0 {
		return
	}
	_, _ = w.w.Write(b)
}
