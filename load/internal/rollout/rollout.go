// Package rollout publishes many configuration changes while processes restart,
// and measures how long each takes until it is in force at every process.
package rollout

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

const (
	agents  = 11
	entries = 2
	slots   = 8
	// Every sampleInterval-th change is timed, and the last one.
	sampleInterval = 10
	// settleTimeout limits the wait for the last changes to be in force.
	settleTimeout   = 30 * time.Second
	publishTimeout  = 30 * time.Second
	kindsPerService = 3
)

// Options describe the changes to publish and the system that takes them.
type Options struct {
	Changes  int
	Restarts int
	Services int
	Teams    int
	Controls int
}

// Result is what was measured.
type Result struct {
	Origin  report.Origin `json:"origin"`
	Options Options       `json:"options"`
	// Accepted is the number of accepted changes, PerSecond their rate.
	Accepted  int     `json:"accepted"`
	PerSecond float64 `json:"perSecond"`
	Restarted int     `json:"restarted"`
	// Accept and InForce are in milliseconds. InForce lasts from acceptance until
	// every member had reported the change to the control group, so it is an
	// upper bound.
	Accept  report.Percentiles `json:"accept"`
	InForce report.Percentiles `json:"inForce"`
	Timed   int                `json:"timed"`
	// Late is the number of timed changes that were not in force when the run
	// ended.
	Late int `json:"late"`
	// Reverted is the number of times that a process went back to an older
	// version.
	Reverted int `json:"reverted"`
	// ControlRSS and ControlDisk are the largest memory and data folder of a
	// control host, in bytes.
	ControlRSS  int64  `json:"controlRss"`
	ControlDisk int64  `json:"controlDisk"`
	ChangeBytes int    `json:"changeBytes"`
	Error       string `json:"error,omitempty"`
}

// Runner starts a system and publishes changes to it.
type Runner struct {
	bin      string
	progress io.Writer
}

// New returns a runner that takes the programs from bin and writes progress
// lines to progress.
func New(bin string, progress io.Writer) *Runner {
	return &Runner{bin: bin, progress: progress}
}

// Run publishes all changes and returns what was measured.
func (r *Runner) Run(ctx context.Context, options Options, origin report.Origin) Result {
	result := Result{Options: options}
	if err := r.run(ctx, &result); err != nil {
		result.Error = err.Error()
	}
	result.Origin = origin.WithEnd()
	return result
}

func (r *Runner) run(ctx context.Context, result *Result) error {
	o := result.Options
	f, err := fleet.New(ctx, fleet.Options{
		Bin: r.bin, Controls: o.Controls, Entries: entries, Workers: slices.Repeat([]*wire.Worker{{Speed: 1, Slots: slots}}, agents),
		Services: services(o, 0), Teams: teams(o),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	f.WaitDirectoryStable(ctx)
	w := newWatcher(f)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go w.poll(watchCtx)
	if err := r.publish(ctx, f, w, result); err != nil {
		return err
	}
	w.waitPending(ctx, settleTimeout)
	result.InForce, result.Timed, result.Late, result.Reverted = w.summary()
	result.ControlRSS, result.ControlDisk = controlUse(f)
	result.ChangeBytes = proto.Size(&wire.Change{Services: services(o, 1), Teams: teams(o)})
	return nil
}

func (r *Runner) publish(ctx context.Context, f *fleet.Fleet, w *watcher, result *Result) error {
	o := result.Options
	status, err := f.Status(ctx, f.Leader(ctx).Address())
	if err != nil {
		return err
	}
	base := status.GetDirectory().GetConfigVersion()
	start := time.Now()
	var acceptTimes []time.Duration
	for change := range o.Changes {
		if o.Restarts > 0 && change%(o.Changes/o.Restarts) == o.Changes/o.Restarts/2 {
			if err := r.restart(f, result.Restarted); err != nil {
				return err
			}
			result.Restarted++
		}
		sent := time.Now()
		publishCtx, cancel := context.WithTimeout(ctx, publishTimeout)
		version, err := f.Publish(publishCtx, fmt.Sprintf("change-%d", change), base, services(o, change+1))
		cancel()
		if err != nil {
			return err
		}
		base = version
		acceptTimes = append(acceptTimes, time.Since(sent))
		if change%sampleInterval == 0 || change == o.Changes-1 {
			w.expect(version, time.Now())
		}
		result.Accepted++
	}
	result.PerSecond = float64(o.Changes) / time.Since(start).Seconds()
	result.Accept = report.Summarize(acceptTimes)
	fmt.Fprintf(r.progress, "%s %d changes accepted in %.1f s\n", time.Now().Format(time.TimeOnly), o.Changes, time.Since(start).Seconds())
	return nil
}

// restart kills an agent, an entry or a control host, in turn, and starts it
// again. Count is the number of restarts before this one.
func (r *Runner) restart(f *fleet.Fleet, count int) error {
	all := [][]*fleet.Process{f.Agents, f.Entries, f.Controls}
	list := all[count%len(all)]
	p := list[count/len(all)%len(list)]
	fmt.Fprintf(r.progress, "%s restart %s\n", time.Now().Format(time.TimeOnly), p.Name)
	return f.Restart(p)
}

// services returns the services of one change. The number of the change is added
// to the declared run times, so that each change differs from the one before.
func services(o Options, change int) []*wire.Service {
	var all []*wire.Service
	for s := range max(o.Services, 1) {
		service := &wire.Service{Name: fmt.Sprintf("service%d", s)}
		for k := range kindsPerService {
			service.Kinds = append(service.Kinds, &wire.Kind{
				Name: fmt.Sprintf("kind%d", k), Urgency: wire.Urgency_URGENCY_NORMAL, Idempotent: true,
				ExpectedRunMillis: int64(100 + change), DeadlineMillis: 10_000, MaxTasks: 460,
			})
		}
		all = append(all, service)
	}
	return all
}

func teams(o Options) []*wire.Team {
	var all []*wire.Team
	for n := range o.Teams {
		all = append(all, &wire.Team{Name: fmt.Sprintf("team%d", n), Weight: 1, MaxRunning: 100})
	}
	return all
}

func controlUse(f *fleet.Fleet) (rss, disk int64) {
	for _, p := range f.Controls {
		usage, _ := p.Usage()
		rss = max(rss, usage.RSS)
		disk = max(disk, folderSize(f.DataFolder(p)))
	}
	return rss, disk
}

func folderSize(path string) int64 {
	sum := int64(0)
	_ = filepath.WalkDir(path, func(_ string, d fs.DirEntry, err error) error {
		if err != nil {
			return nil // the file was deleted meanwhile
		}
		if info, err := d.Info(); err == nil && !d.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}
