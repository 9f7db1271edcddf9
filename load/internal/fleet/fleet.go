package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/process"
	"skylarklane.example/lib/standin"
	"skylarklane.example/lib/wire"
)

const (
	shards            = 64
	leaseMillis       = 2000
	retentionMillis   = 600_000
	stragglerFactor   = 8
	stragglerInterval = 10
)

// Options describe the system to start.
type Options struct {
	// Bin is the folder of the programs.
	Bin string
	// Controls and Entries are the numbers of control hosts and entries.
	Controls int
	Entries  int
	// Placement is the placement variant of the entries; empty means their
	// default.
	Placement string
	// Workers each get an agent process, and a stand-in backend server in this
	// process.
	Workers []*wire.Worker
	// Hosted is the number of further agents that run, with their stand-ins, in
	// one child process.
	Hosted int
	// HostedSlots is the number of slots of each hosted agent.
	HostedSlots int
	// Failing is the number of workers that fail every task. They are the first
	// in Workers, which lists the fastest first. Stragglers is the number of
	// workers after them that run every tenth task 8 times as long.
	Failing    int
	Stragglers int
	Services   []*wire.Service
	Teams      []*wire.Team
	// Limits are the limits in the settings of the entries, such as
	// "maxQueuedTasks: 20000".
	Limits string
	// Delay is the simulated one-way network delay between agent and stand-in.
	Delay time.Duration
	// Quiet makes the stand-ins keep no list of the tasks they started.
	Quiet bool
}

// Fleet is a running system.
type Fleet struct {
	options  Options
	folder   string
	client   *http.Client
	cancel   context.CancelFunc
	servers  sync.WaitGroup
	Controls []*Process
	Agents   []*Process
	Entries  []*Process
	// Host is the process that runs the hosted agents; nil if there are none.
	Host     *Process
	standins []*standin.Server
}

// New starts a system and waits until every program serves. The caller must
// call Close.
func New(ctx context.Context, options Options) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "skylarklane-load")
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindProgram, Err: eris.Wrap(err, "cannot create a temporary folder")}
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{options: options, folder: folder, client: process.NewClient(), cancel: cancel}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close kills all processes, by their ids, and ends the stand-ins. Processes are
// not shut down gracefully: that takes time, and the measurement is over.
func (f *Fleet) Close() {
	f.cancel()
	f.servers.Wait()
	f.client.CloseIdleConnections()
	var kills sync.WaitGroup
	for _, p := range f.Processes() {
		kills.Go(p.Kill)
	}
	kills.Wait()
	_ = os.RemoveAll(f.folder)
}

// Processes returns all child processes.
func (f *Fleet) Processes() []*Process {
	all := append(append(append([]*Process(nil), f.Entries...), f.Agents...), f.Controls...)
	if f.Host != nil {
		all = append(all, f.Host)
	}
	return all
}

// EntryAddresses returns the addresses of the entries.
func (f *Fleet) EntryAddresses() []string { return addresses(f.Entries) }

// ControlAddresses returns the addresses of the control hosts, which stay the
// same when a host is restarted.
func (f *Fleet) ControlAddresses() []string { return addresses(f.Controls) }

// Starts returns the task starts recorded by the stand-ins of this process.
func (f *Fleet) Starts() []standin.Start {
	var all []standin.Start
	for _, s := range f.standins {
		all = append(all, s.Starts()...)
	}
	return all
}

// Counters returns the sums of the counters of all processes. Processes that do
// not answer, such as a killed one, are left out.
func (f *Fleet) Counters(ctx context.Context) Counters {
	all := Counters{}
	for _, p := range f.Processes() {
		if counters, err := p.Counters(ctx); err == nil {
			all.Add(counters)
		}
	}
	return all
}

func (f *Fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{f.startControls, f.startAgents, f.startHostedAgents, f.startEntries, f.publish}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startControls(context.Context) error {
	ports, err := freeAddresses(f.options.Controls)
	if err != nil {
		return err
	}
	var peers strings.Builder
	for n, address := range ports {
		fmt.Fprintf(&peers, "  - {id: control%d, address: %q}\n", n+1, address)
	}
	for n, address := range ports {
		name := fmt.Sprintf("control%d", n+1)
		settings := fmt.Sprintf("id: %s\nlisten: %s\ndataFolder: %s\npeers:\n%sshards: %d\nleaseMillis: %d\nretentionMillis: %d\n",
			name, address, filepath.Join(f.folder, name), peers.String(), shards, leaseMillis, retentionMillis)
		p, err := startDaemon(f.options.Bin, f.folder, "control", name, settings)
		if err != nil {
			return err
		}
		f.Controls = append(f.Controls, p)
	}
	return nil
}

func (f *Fleet) startAgents(ctx context.Context) error {
	for n, worker := range f.options.Workers {
		name := fmt.Sprintf("worker%d", n+1)
		settings := fmt.Sprintf("id: %s\nlisten: 127.0.0.1:0\nannounce: 127.0.0.1:0\nrack: %q\ndataCentre: %q\ncontrol: %s\n",
			name, worker.GetRack(), worker.GetDataCentre(), f.controlList())
		p, err := startDaemon(f.options.Bin, f.folder, "agent", name, settings)
		if err != nil {
			return err
		}
		f.Agents = append(f.Agents, p)
		if err := f.startStandin(ctx, n, worker, p.line.Announce); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startStandin(ctx context.Context, n int, worker *wire.Worker, announce string) error {
	options := standin.Options{
		ID:      fmt.Sprintf("backend%d", n+1),
		Service: f.service(),
		Agent:   announce,
		Slots:   int(worker.GetSlots()),
		Speed:   worker.GetSpeed(),
		FailAll: n < f.options.Failing,
		Delay:   f.options.Delay,
		Quiet:   f.options.Quiet,
	}
	if n >= f.options.Failing && n < f.options.Failing+f.options.Stragglers {
		options.StragglerFactor, options.StragglerInterval = stragglerFactor, stragglerInterval
	}
	server, err := standin.New(options)
	if err != nil {
		return &Error{Op: "start stand-in", Kind: KindProgram, Err: err}
	}
	f.standins = append(f.standins, server)
	f.servers.Go(func() { server.Run(ctx) })
	return nil
}

// startHostedAgents runs this program again, with its command for many agents.
func (f *Fleet) startHostedAgents(context.Context) error {
	if f.options.Hosted == 0 {
		return nil
	}
	program, err := os.Executable()
	if err != nil {
		return &Error{Op: "start agents", Kind: KindProgram, Err: err}
	}
	args := []string{"agents", fmt.Sprint(f.options.Hosted), "--slots", fmt.Sprint(f.options.HostedSlots), "--service", f.service()}
	f.Host, err = Start("agents", program, append(args, addresses(f.Controls)...)...)
	return err
}

func (f *Fleet) startEntries(context.Context) error {
	for n := range f.options.Entries {
		name := fmt.Sprintf("entry%d", n+1)
		settings := fmt.Sprintf("id: %s\nlisten: 127.0.0.1:0\ncontrol: %s\n", name, f.controlList())
		if f.options.Placement != "" {
			settings += "placement: " + f.options.Placement + "\n"
		}
		if f.options.Limits != "" {
			settings += "limits: {" + f.options.Limits + "}\n"
		}
		p, err := startDaemon(f.options.Bin, f.folder, "entry", name, settings)
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, p)
	}
	return nil
}

func (f *Fleet) service() string { return f.options.Services[0].GetName() }

func (f *Fleet) controlList() string {
	return `["` + strings.Join(addresses(f.Controls), `", "`) + `"]`
}

func addresses(processes []*Process) []string {
	var all []string
	for _, p := range processes {
		all = append(all, p.Address())
	}
	return all
}

// freeAddresses returns n loopback addresses with free ports, which the kernel
// chooses.
func freeAddresses(n int) ([]string, error) {
	var all []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, &Error{Op: "find a port", Kind: KindProgram, Err: err}
		}
		defer listener.Close()
		all = append(all, listener.Addr().String())
	}
	return all, nil
}
