// Package recovery kills one process at a time under light load, and measures
// the time until new work is answered promptly again.
package recovery

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/caller"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/judge"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/trace"
)

const (
	agents      = 11
	entries     = 2
	controls    = 3
	slots       = 8
	service     = "sizing"
	kind        = "airflowLookup"
	interval    = 10 * time.Millisecond
	killAt      = 3 * time.Second
	traceLength = 15 * time.Second
	runTime     = 10 * time.Millisecond
	// promptLimit is the response time from which a job counts as held up.
	promptLimit    = 500 * time.Millisecond
	deadlineMillis = 10_000
	maxTasks       = 460
)

// Victims that can be killed.
const (
	Entry         = "entry"
	Agent         = "agent"
	ControlLeader = "control leader"
)

// Result is the effect of each kill on the work.
type Result struct {
	Origin report.Origin `json:"origin"`
	Kills  []Kill        `json:"kills"`
}

// Kill is the effect of one kill -9.
type Kill struct {
	Victim string `json:"victim"`
	Jobs   int    `json:"jobs"`
	// Seconds is the time from the kill until the last answer to a job that
	// was sent after the kill and was held up or failed.
	Seconds float64       `json:"seconds"`
	HeldUp  int           `json:"heldUp"`
	Failed  int           `json:"failed"`
	NotRun  int           `json:"notRun"`
	Verdict judge.Verdict `json:"verdict"`
	Error   string        `json:"error,omitempty"`
}

// Runner starts systems and kills processes in them.
type Runner struct {
	bin      string
	progress io.Writer
}

// New returns a runner that takes the programs from bin and writes progress
// lines to progress.
func New(bin string, progress io.Writer) *Runner {
	return &Runner{bin: bin, progress: progress}
}

// Run kills each victim in a newly started system.
func (r *Runner) Run(ctx context.Context, victims []string, origin report.Origin) Result {
	var result Result
	for _, victim := range victims {
		fmt.Fprintf(r.progress, "%s kill -9 of the %s\n", time.Now().Format(time.TimeOnly), victim)
		k := Kill{Victim: victim}
		if err := r.measureKill(ctx, &k); err != nil {
			k.Error = err.Error()
		}
		result.Kills = append(result.Kills, k)
	}
	result.Origin = origin.WithEnd()
	return result
}

func (r *Runner) measureKill(ctx context.Context, k *Kill) error {
	f, err := fleet.New(ctx, fleet.Options{
		Bin: r.bin, Controls: controls, Entries: entries, Services: services(),
		Workers: slices.Repeat([]*wire.Worker{{Speed: 1, Slots: slots}}, agents),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	f.WaitDirectoryStable(ctx)
	p := victimProcess(ctx, f, k.Victim)
	timer := time.AfterFunc(killAt, p.Kill)
	defer timer.Stop()
	answers := caller.New(f.EntryAddresses(), jobs(k.Victim)).Run(ctx)
	k.Verdict = judge.New(answers, f.Starts())
	k.addAnswers(answers)
	return nil
}

// addAnswers counts the answers and computes how long work was held up.
func (k *Kill) addAnswers(answers []caller.Answer) {
	k.Jobs = len(answers)
	for _, a := range answers {
		if a.Outcome == caller.Failed {
			k.Failed++
		}
		if a.Outcome == caller.NotRun {
			k.NotRun++
		}
		if a.Outcome == caller.Complete && a.Response < promptLimit {
			continue
		}
		k.HeldUp++
		if a.Job.At >= killAt {
			k.Seconds = max(k.Seconds, (a.Job.At + a.Response - killAt).Seconds())
		}
	}
}

func victimProcess(ctx context.Context, f *fleet.Fleet, victim string) *fleet.Process {
	switch victim {
	case Entry:
		return f.Entries[0]
	case Agent:
		return f.Agents[0]
	}
	return f.Leader(ctx)
}

func jobs(keyPrefix string) []trace.Job {
	var all []trace.Job
	for at := time.Duration(0); at < traceLength; at += interval {
		all = append(all, trace.Job{
			At: at, Key: fmt.Sprintf("%s-%d", keyPrefix, len(all)), Service: service, Kind: kind,
			Idempotent: true, Runs: []time.Duration{runTime}, Entry: len(all),
		})
	}
	return all
}

func services() []*wire.Service {
	return []*wire.Service{{Name: service, Kinds: []*wire.Kind{{
		Name: kind, Urgency: wire.Urgency_URGENCY_URGENT, Idempotent: true,
		ExpectedRunMillis: runTime.Milliseconds(), DeadlineMillis: deadlineMillis, MaxTasks: maxTasks,
	}}}}
}
