// Package rollout publishes many configuration changes while processes restart,
// and times until when each is in force at every process.
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
	// sampleEvery is how many changes lie between two that are timed.
	sampleEvery = 10
	// settle bounds the wait for the last changes to be in force.
	settle        = 30 * time.Second
	publishWithin = 30 * time.Second
	kindsEach     = 3
)

// Options say how much to publish.
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
	// Accepted changes, and their rate.
	Accepted  int     `json:"accepted"`
	PerSecond float64 `json:"perSecond"`
	Restarted int     `json:"restarted"`
	// Accept and InForce are in milliseconds, the latter from acceptance until
	// the control group had heard it from every member: an upper bound.
	Accept  report.Percentiles `json:"accept"`
	InForce report.Percentiles `json:"inForce"`
	Timed   int                `json:"timed"`
	// Late changes were not in force when the run ended.
	Late int `json:"late"`
	// Reverted counts versions that a process had and then had no more.
	Reverted int `json:"reverted"`
	// Memory and disk of the control hosts, in bytes, the largest.
	ControlRSS  int64  `json:"controlRss"`
	ControlDisk int64  `json:"controlDisk"`
	ChangeBytes int    `json:"changeBytes"`
	Error       string `json:"error,omitempty"`
}

// Runner publishes.
type Runner struct {
	bin      string
	progress io.Writer
}

// New returns a runner that writes progress lines.
func New(bin string, progress io.Writer) *Runner {
	return &Runner{bin: bin, progress: progress}
}

// Run publishes all changes and measures.
func (n *Runner) Run(ctx context.Context, options Options, origin report.Origin) Result {
	result := Result{Options: options}
	if err := n.run(ctx, &result); err != nil {
		result.Error = err.Error()
	}
	result.Origin = origin.WithEnd()
	return result
}

func (n *Runner) run(ctx context.Context, result *Result) error {
	o := result.Options
	f, err := fleet.New(ctx, fleet.Options{
		Bin: n.bin, Controls: o.Controls, Entries: entries, Workers: slices.Repeat([]*wire.Worker{{Speed: 1, Slots: slots}}, agents),
		Services: services(o, 0), Teams: teams(o),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	f.WaitCalm(ctx)
	w := newWatch(f)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go w.loop(watching)
	if err := n.publish(ctx, f, w, result); err != nil {
		return err
	}
	w.drain(ctx, settle)
	result.InForce, result.Timed, result.Late, result.Reverted = w.summary()
	result.ControlRSS, result.ControlDisk = controlUse(f)
	result.ChangeBytes = proto.Size(&wire.Change{Services: services(o, 1), Teams: teams(o)})
	return nil
}

func (n *Runner) publish(ctx context.Context, f *fleet.Fleet, w *watch, result *Result) error {
	o := result.Options
	status, err := f.Status(ctx, f.Leader(ctx).Address())
	if err != nil {
		return err
	}
	base := status.GetDirectory().GetConfigVersion()
	begin := time.Now()
	var took []time.Duration
	for change := range o.Changes {
		if o.Restarts > 0 && change%(o.Changes/o.Restarts) == o.Changes/o.Restarts/2 {
			if err := n.restart(f, result.Restarted); err != nil {
				return err
			}
			result.Restarted++
		}
		sent := time.Now()
		within, cancel := context.WithTimeout(ctx, publishWithin)
		version, err := f.Publish(within, fmt.Sprintf("change-%d", change), base, services(o, change+1))
		cancel()
		if err != nil {
			return err
		}
		base = version
		took = append(took, time.Since(sent))
		if change%sampleEvery == 0 || change == o.Changes-1 {
			w.expect(version, time.Now())
		}
		result.Accepted++
	}
	result.PerSecond = float64(o.Changes) / time.Since(begin).Seconds()
	result.Accept = report.Summarize(took)
	fmt.Fprintf(n.progress, "%s %d changes accepted in %.1f s\n", time.Now().Format(time.TimeOnly), o.Changes, time.Since(begin).Seconds())
	return nil
}

// restart kills and starts an agent, an entry or a control host, in turn.
func (n *Runner) restart(f *fleet.Fleet, turn int) error {
	all := [][]*fleet.Process{f.Agents, f.Entries, f.Controls}
	list := all[turn%len(all)]
	p := list[turn/len(all)%len(list)]
	fmt.Fprintf(n.progress, "%s restart %s\n", time.Now().Format(time.TimeOnly), p.Name)
	return f.Restart(p)
}

// services are the configuration of one change; n marks it.
func services(o Options, n int) []*wire.Service {
	var all []*wire.Service
	for s := range max(o.Services, 1) {
		service := &wire.Service{Name: fmt.Sprintf("service%d", s)}
		for k := range kindsEach {
			service.Kinds = append(service.Kinds, &wire.Kind{
				Name: fmt.Sprintf("kind%d", k), Urgency: wire.Urgency_URGENCY_NORMAL, Idempotent: true,
				ExpectedRunMillis: int64(100 + n), DeadlineMillis: 10_000, MaxTasks: 460,
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
			return nil // a file that went away meanwhile
		}
		if info, err := d.Info(); err == nil && !d.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}
