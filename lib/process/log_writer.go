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
	// flushDelay is how long the writer waits for more lines before a write.
	flushDelay = 100 * time.Millisecond
	// maxWriteBytes is the approximate size of one write.
	maxWriteBytes = 64 << 10
	// reportInterval is the minimum interval between reports of dropped lines.
	reportInterval = time.Second
)

// logWriter writes the queued lines.
type logWriter struct {
	w    io.Writer
	core *logCore
	done chan struct{}
	// nextReport is the earliest time of the next report of dropped lines.
	nextReport time.Time
}

func newLogWriter(w io.Writer, core *logCore) *logWriter {
	return &logWriter{w: w, core: core, done: make(chan struct{})}
}

// run writes until the queue is closed and empty.
func (w *logWriter) run() {
	defer close(w.done)
	var b []byte
	for !w.core.queue.drained() {
		w.wait()
		w.core.clock.refresh()
		b = w.core.queue.take(b[:0], maxWriteBytes)
		b = append(b, w.report(time.Now())...)
		w.write(b)
	}
	w.nextReport = time.Time{}
	w.write(w.report(time.Now()))
}

// wait blocks until there is something to write.
func (w *logWriter) wait() {
	var report <-chan time.Time
	if w.core.dropCounts.any() {
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

// report returns a line with the counts of dropped lines, or nil if no report is
// due.
func (w *logWriter) report(now time.Time) []byte {
	if now.Before(w.nextReport) || !w.core.dropCounts.any() {
		return nil
	}
	w.nextReport = now.Add(reportInterval)
	r := slog.NewRecord(now, event.LinesLeftOut.Level(), event.LinesLeftOut.Sentence(), 0)
	r.AddAttrs(slog.Any(event.Key, event.LinesLeftOut))
	r.AddAttrs(w.core.dropCounts.take()...)
	w.core.addCommon(&r, w.core.clock.millis())
	var line bytes.Buffer
	_ = newLineHandler(&line, w.core.json).Handle(context.Background(), r)
	return line.Bytes()
}

// write writes b; lines are lost if the write fails.
func (w *logWriter) write(b []byte) {
	if len(b) == 0 {
		return
	}
	_, _ = w.w.Write(b)
}
