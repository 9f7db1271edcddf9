package slope

import (
	"context"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

const (
	service = "sizing"
	kind    = "airflowLookup"
	// slots is the number of slots of each stand-in.
	slots = 8
	// jobTasks is the number of tasks in a job of the busy phase.
	jobTasks = 100
	// busyCallers is the number of callers for each entry.
	busyCallers       = 8
	warmUp            = 2 * time.Second
	metricsFlushDelay = 1500 * time.Millisecond
	deadlineMillis    = 30_000
	maxTasks          = 460
)

// Runner starts systems of different sizes and measures their usage.
type Runner struct {
	bin      string
	window   time.Duration
	progress io.Writer
}

// New returns a runner that takes the programs from bin, measures each phase for
// window and writes progress lines to progress.
func New(bin string, window time.Duration, progress io.Writer) *Runner {
	return &Runner{bin: bin, window: window, progress: progress}
}

// Run measures an idle and a busy point for each size.
func (r *Runner) Run(ctx context.Context, sizes []Size) []Point {
	var points []Point
	for _, size := range sizes {
		if ctx.Err() != nil {
			break
		}
		points = append(points, r.size(ctx, size)...)
	}
	return points
}

func (r *Runner) size(ctx context.Context, size Size) []Point {
	r.logProgress("%d agents, %d entries, %d control hosts", size.Agents, size.Entries, size.Controls)
	f, err := fleet.New(ctx, fleet.Options{
		Bin: r.bin, Controls: size.Controls, Entries: size.Entries, Hosted: size.Agents, HostedSlots: slots, Services: services(),
	})
	if err != nil {
		return []Point{size.point(Idle).withError(err)}
	}
	defer f.Close()
	if err := f.WaitReady(ctx); err != nil {
		return []Point{size.point(Idle).withError(err)}
	}
	f.WaitDirectoryStable(ctx)
	idle := r.measurePhase(ctx, f, size.point(Idle), func() { time.Sleep(r.window) })
	flood := newFlood(f.EntryAddresses(), service, kind, "busy", jobTasks)
	flood.runFor(ctx, busyCallers*size.Entries, 0, warmUp)
	flood.done.Store(0)
	flood.failed.Store(0)
	busy := r.measurePhase(ctx, f, size.point(Busy), func() { flood.runFor(ctx, busyCallers*size.Entries, 0, r.window) })
	busy.JobsPerSecond = float64(flood.done.Load()) / busy.Seconds
	busy.StartsPerSecond = busy.JobsPerSecond * jobTasks
	busy.Failed = int(flood.failed.Load())
	r.logProgress("  %.0f starts/s, %d jobs not complete", busy.StartsPerSecond, busy.Failed)
	return []Point{idle, busy.withStartCosts()}
}

// measurePhase measures what the processes use while work runs.
func (r *Runner) measurePhase(ctx context.Context, f *fleet.Fleet, p Point, work func()) Point {
	p.LoadAverage = report.LoadAverage()
	version := f.DirectoryVersion(ctx)
	before := readFleet(ctx, f)
	start := time.Now()
	work()
	p.Seconds = time.Since(start).Seconds()
	after := readFleet(ctx, f)
	p.Roles = rolesBetween(before, after, p)
	p.DirectoryChanges = f.DirectoryVersion(ctx) - version
	if status, err := f.Status(ctx, f.ControlAddresses()[0]); err == nil {
		p.DirectoryBytes = proto.Size(status.GetDirectory())
	}
	return p
}

func (r *Runner) logProgress(format string, args ...any) {
	fmt.Fprintf(r.progress, time.Now().Format(time.TimeOnly)+" "+format+"\n", args...)
}

func (p Point) withError(err error) Point {
	p.Error = err.Error()
	return p
}

func services() []*wire.Service {
	return []*wire.Service{{Name: service, Kinds: []*wire.Kind{{
		Name: kind, Urgency: wire.Urgency_URGENCY_URGENT, Idempotent: true,
		ExpectedRunMillis: 1, DeadlineMillis: deadlineMillis, MaxTasks: maxTasks,
	}}}}
}
