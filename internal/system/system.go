// Package system runs all roles in one process, with stand-in backend servers,
// to try out the system.
package system

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/agent"
	"skylarklane.example/lib/control"
	"skylarklane.example/lib/entry"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/standin"
	"skylarklane.example/lib/wire"
)

const (
	anyPort         = "127.0.0.1:0"
	shards          = 16
	leaseMillis     = 3000
	retentionMillis = 600_000
	slotsPerWorker  = 8
)

// Options are the size of the system and the name of its service.
type Options struct {
	Workers int
	Entries int
	// Service is the name of the only service; all stand-ins provide it.
	Service string
}

// System is a running system.
type System struct {
	options Options
	log     *slog.Logger
	folder  string
	cancel  context.CancelFunc
	running sync.WaitGroup

	control  string
	entries  []string
	standins []*standin.Server
}

// New starts a system with its files in a temporary folder, which Close removes.
// Workers have speeds of 1, 1/2 and 1/3 in turn.
func New(ctx context.Context, options Options, log *slog.Logger) (*System, error) {
	folder, err := os.MkdirTemp("", "skylarklane-try")
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindFolder, Err: eris.Wrap(err, "cannot create a temporary folder")}
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &System{options: options, log: log, folder: folder, cancel: cancel}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Control returns the address of the control host.
func (s *System) Control() string { return s.control }

// Entries returns the addresses of the entries.
func (s *System) Entries() []string { return s.entries }

// Starts returns how many tasks the stand-ins have started.
func (s *System) Starts() int {
	n := 0
	for _, server := range s.standins {
		n += len(server.Starts())
	}
	return n
}

// Close stops all roles and removes the files.
func (s *System) Close() {
	s.cancel()
	s.running.Wait()
	_ = os.RemoveAll(s.folder)
}

func (s *System) start(ctx context.Context) error {
	if err := s.startControl(ctx); err != nil {
		return err
	}
	for n := range s.options.Workers {
		if err := s.startWorker(ctx, n); err != nil {
			return err
		}
	}
	for n := range s.options.Entries {
		if err := s.startEntry(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startControl(ctx context.Context) error {
	cfg := &wire.ControlSettings{
		Id: "control1", Listen: anyPort, DataFolder: s.folder,
		Shards: shards, LeaseMillis: leaseMillis, RetentionMillis: retentionMillis,
	}
	address, _, err := s.launch(func(ready process.ReadyFunc) error {
		return control.Run(ctx, cfg, s.log, ready)
	})
	s.control = address
	return err
}

func (s *System) startWorker(ctx context.Context, n int) error {
	cfg := &wire.AgentSettings{
		Id: fmt.Sprintf("worker%d", n+1), Listen: anyPort, Announce: anyPort,
		DataCentre: "suva", Rack: fmt.Sprintf("rack%d", n+1), Control: []string{s.control},
	}
	_, announce, err := s.launch(func(ready process.ReadyFunc) error {
		return agent.Run(ctx, cfg, s.log, ready)
	})
	if err != nil {
		return err
	}
	server, err := standin.New(standin.Options{
		ID: fmt.Sprintf("backend%d", n+1), Service: s.options.Service, Agent: announce,
		Slots: slotsPerWorker, Speed: 1 / float64(n%3+1),
	})
	if err != nil {
		return &Error{Op: "start", Kind: KindRole, Err: eris.Wrap(err, "cannot start a stand-in backend server")}
	}
	s.standins = append(s.standins, server)
	s.running.Go(func() { server.Run(ctx) })
	return nil
}

func (s *System) startEntry(ctx context.Context, n int) error {
	cfg := &wire.EntrySettings{
		Id: fmt.Sprintf("entry%d", n+1), Listen: anyPort, DataCentre: "suva", Control: []string{s.control},
	}
	address, _, err := s.launch(func(ready process.ReadyFunc) error {
		return entry.Run(ctx, cfg, s.log, ready)
	})
	s.entries = append(s.entries, address)
	return err
}

// launch starts one role and waits until it is ready or has ended.
func (s *System) launch(role func(process.ReadyFunc) error) (address, announce string, err error) {
	type addresses struct{ address, announce string }
	ready := make(chan addresses, 1)
	ended := make(chan error, 1)
	s.running.Go(func() {
		ended <- role(func(address, announce string) { ready <- addresses{address, announce} })
	})
	select {
	case a := <-ready:
		return a.address, a.announce, nil
	case err := <-ended:
		return "", "", &Error{Op: "start", Kind: KindRole, Err: eris.Wrap(err, "a role ended before it was ready")}
	}
}
