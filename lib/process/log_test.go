package process

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// writtenLine is a decoded line of the log.
type writtenLine struct {
	Message     string         `json:"msg"`
	Level       string         `json:"level"`
	Event       string         `json:"event"`
	Job         string         `json:"job"`
	Up          *int64         `json:"up"`
	Process     string         `json:"process"`
	Incarnation string         `json:"incarnation"`
	Sampled     int            `json:"sampled"`
	SampledOut  map[string]int `json:"sampledOut"`
	NoRoom      map[string]int `json:"noRoom"`
}

func readLines(t *testing.T, text string) []writtenLine {
	t.Helper()
	var lines []writtenLine
	for one := range strings.Lines(text) {
		var line writtenLine
		if err := json.Unmarshal([]byte(one), &line); err != nil {
			t.Fatalf("%v: %s", err, one)
		}
		lines = append(lines, line)
	}
	return lines
}

func TestLogWritesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := OpenLog(&out, "entry", true)
		logger := Identify(log.Logger(), &wire.Incarnation{Id: "entry-1", Number: 0xa1})
		event.JobReceived.Log(t.Context(), logger, slog.String("job", "j1"))
		time.Sleep(7 * time.Millisecond)
		event.JobRefused.Log(t.Context(), logger, slog.String("job", "j1"))
		logger.With("job", "j2").Warn("A plain line.")
		is.True(log.Close(closeTimeout))

		lines := readLines(t, out.String())
		is.Equal(len(lines), 3)
		is.Equal(lines[0].Message, "entry: A job was received.")
		is.Equal(lines[0].Event, "jobReceived")
		is.Equal(lines[0].Process, "entry-1")
		is.Equal(lines[0].Incarnation, "a1")
		is.Equal(*lines[0].Up, int64(0))
		is.Equal(lines[1].Event, "jobRefused")
		is.Equal(*lines[1].Up, int64(7))
		is.Equal(lines[2].Job, "j2")
		is.Equal(lines[2].Level, "WARN")
	})
}

func TestLogSamplesByEvent(t *testing.T) {
	const burst = 300
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := OpenLog(&out, "entry", true)
		for i := range burst {
			job := slog.String("job", strconv.Itoa(i))
			event.JobReceived.Log(t.Context(), log.Logger(), job)
			event.JobPlaced.Log(t.Context(), log.Logger(), job)
		}
		event.JobFailed.Log(t.Context(), log.Logger(), slog.String("job", "0"))
		time.Sleep(2 * reportInterval)
		event.JobReceived.Log(t.Context(), log.Logger(), slog.String("job", "last"))
		is.True(log.Close(closeTimeout))

		jobs := map[string][]string{}
		represented := 0
		reported := 0
		for _, line := range readLines(t, out.String()) {
			jobs[line.Event] = append(jobs[line.Event], line.Job)
			reported += line.SampledOut["jobReceived"]
			if line.Event == "jobReceived" {
				represented += max(line.Sampled, 1)
			}
		}
		received := len(jobs["jobReceived"])
		is.True(received > linesPerWindow[lowPriority])
		is.True(received < burst/2)
		is.Equal(jobs["jobReceived"][:received-1], jobs["jobPlaced"]) // the same jobs are dropped for all events
		is.Equal(len(jobs["jobFailed"]), 1)
		is.Equal(represented, burst+1)
		is.Equal(reported, burst+1-received)
	})
}

func TestQueueDropsLowestPriorityFirst(t *testing.T) {
	tests := []struct {
		name string
		push []priority
		want string
	}{
		{"all lines fit", []priority{lowPriority, highPriority, middlePriority}, "0 1 2"},
		{"a success is dropped when the queue is full", []priority{lowPriority, middlePriority, lowPriority, lowPriority}, "0 1 2"},
		{"a refusal replaces the oldest success", []priority{lowPriority, lowPriority, middlePriority, middlePriority}, "1 2 3"},
		{"a warning replaces successes first", []priority{middlePriority, lowPriority, lowPriority, highPriority, highPriority}, "0 3 4"},
		{"a warning replaces refusals next", []priority{middlePriority, lowPriority, middlePriority, highPriority, highPriority}, "2 3 4"},
		{"a refusal does not replace a warning", []priority{highPriority, highPriority, highPriority, middlePriority}, "0 1 2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			drops := newDropCounts()
			q := newLineQueue(queueLimits{lines: 3, bytes: maxQueuedBytes}, drops)
			for i, p := range test.push {
				q.push(p, []byte(strconv.Itoa(i)+" "))
			}
			is.Equal(strings.TrimSpace(string(q.take(nil, maxWriteBytes))), test.want)
			is.Equal(drops.any(), len(test.push) > 3)
		})
	}
}

func TestQueueBoundsBytes(t *testing.T) {
	is := is.New(t)
	q := newLineQueue(queueLimits{lines: 100, bytes: 20}, newDropCounts())
	for range 100 {
		q.push(lowPriority, []byte("12345678"))
	}
	is.Equal(len(q.take(nil, maxWriteBytes)), 16)
}

// shrinkPipe makes a pipe hold less than the queue of a log, however few writes
// there are.
func shrinkPipe(t *testing.T, w *os.File) {
	t.Helper()
	is := is.New(t)
	raw, err := w.SyscallConn()
	is.NoErr(err)
	var size int
	is.NoErr(raw.Control(func(fd uintptr) { size, err = unix.FcntlInt(fd, unix.F_SETPIPE_SZ, 4096) }))
	is.NoErr(err)
	is.Equal(size, 4096)
}

// TestLogNeverBlocks logs to a pipe without a reader: a full pipe must not block
// the logging goroutines.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	shrinkPipe(t, w)
	log := openLog(w, "entry", true, queueLimits{lines: 64, bytes: 1 << 14})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var callers sync.WaitGroup
		for caller := range 4 {
			callers.Go(func() {
				for i := range 5000 {
					event.JobRefused.Log(context.Background(), log.Logger(), slog.Int("caller", caller), slog.Int("i", i))
					log.Logger().Warn("A plain line.", "padding", strings.Repeat("x", 100))
				}
			})
		}
		callers.Wait()
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked on the reader of the log")
	}
	start := time.Now()
	is.True(!log.Close(50 * time.Millisecond)) // not all lines were written
	is.True(time.Since(start) < 5*time.Second)

	// A reader that starts late gets the queued lines and the counts of dropped
	// lines.
	read := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		read <- string(b)
	}()
	is.True(log.Close(20 * time.Second))
	w.Close()
	lines := readLines(t, <-read)
	last := lines[len(lines)-1]
	is.Equal(last.Event, "linesLeftOut")
	is.True(last.SampledOut["jobRefused"] > 0)
}

func TestEventIn(t *testing.T) {
	tests := []struct{ line, want string }{
		{`{"msg":"entry: A job was received.","event":"jobReceived","job":"a"}`, "jobReceived"},
		{`level=INFO msg="x" event=jobReceived job=a`, "jobReceived"},
		{"level=INFO msg=x event=jobReceived\n", "jobReceived"},
		{`level=INFO msg=x`, otherLines},
	}
	for _, test := range tests {
		is.New(t).Equal(eventIn([]byte(test.line)), test.want)
	}
}

func BenchmarkLogLine(b *testing.B) {
	log := OpenLog(io.Discard, "entry", true)
	defer log.Close(closeTimeout)
	log.core.sampler = nil
	benchmarkLine(b, log)
}

func BenchmarkLogLineSampledOut(b *testing.B) {
	log := OpenLog(io.Discard, "entry", true)
	defer log.Close(closeTimeout)
	benchmarkLine(b, log)
}

func BenchmarkLogLineFullQueue(b *testing.B) {
	r, w, err := os.Pipe()
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	log := openLog(w, "entry", true, queueLimits{lines: 64, bytes: maxQueuedBytes})
	log.core.sampler = nil
	benchmarkLine(b, log)
}

func benchmarkLine(b *testing.B, log *Log) {
	logger := Identify(log.Logger(), &wire.Incarnation{Id: "entry-1", Number: 1})
	b.ReportAllocs()
	for b.Loop() {
		event.JobPlaced.Log(b.Context(), logger,
			slog.String("job", "0123456789abcdef"), slog.String("task", "0123456789abcdef-3"), slog.Int("attempt", 1),
			slog.Int("run", 1), slog.String("worker", "worker-7"), slog.Int64("ageMillis", 12), slog.Int("queue", 3))
	}
}
