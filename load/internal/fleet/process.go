// Package fleet runs the programs of the system as child processes of the load
// tool, with stand-in backend servers, and reads their usage and counters.
package fleet

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
)

const (
	readyTimeout = 30 * time.Second
	maxLogLines  = 40
)

// Process is one child process.
type Process struct {
	Name    string
	command *exec.Cmd
	ready   chan readyLine
	exited  chan struct{}
	line    readyLine

	mu  sync.Mutex
	log []string
}

// readyLine is the log line that a program writes once it serves.
type readyLine struct {
	Event    string `json:"event"`
	Address  string `json:"address"`
	Announce string `json:"announce"`
	// Announces are the addresses of many agents in one process.
	Announces []string `json:"announces"`
}

// Start runs a program and waits until it is ready.
func Start(name, program string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		command: exec.Command(program, args...),
		ready:   make(chan readyLine, 1),
		exited:  make(chan struct{}),
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindProgram, Err: err}
	}
	p.command.Stderr = p.command.Stdout
	if err := p.command.Start(); err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindProgram, Err: eris.Wrap(err, "cannot run the program (make build builds it)")}
	}
	go p.readOutput(output)
	return p, p.waitReady()
}

// startDaemon writes the settings into folder and runs a program of the system.
func startDaemon(bin, folder, part, name, settings string) (*Process, error) {
	file := filepath.Join(folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, &Error{Op: "start " + name, Kind: KindProgram, Err: err}
	}
	return Start(name, filepath.Join(bin, part), "--log-json", file)
}

// Address returns the address at which the process serves, as host:port.
func (p *Process) Address() string { return p.line.Address }

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Log returns the last log lines.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

func (p *Process) waitReady() error {
	select {
	case p.line = <-p.ready:
		return nil
	case <-p.exited:
		return &Error{Op: "start " + p.Name, Kind: KindProgram, Err: eris.Errorf("the process ended before it was ready:\n%s", p.Log())}
	case <-time.After(readyTimeout):
		p.Kill()
		return &Error{Op: "start " + p.Name, Kind: KindTimeout, Err: eris.Errorf("the process did not become ready in time:\n%s", p.Log())}
	}
}

func (p *Process) readOutput(output io.Reader) {
	defer close(p.exited)
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.handleLine(lines.Text())
	}
	_ = p.command.Wait()
}

func (p *Process) handleLine(text string) {
	p.mu.Lock()
	p.log = append(p.log, text)
	if len(p.log) > maxLogLines {
		p.log = p.log[1:]
	}
	p.mu.Unlock()
	var line readyLine
	if json.Unmarshal([]byte(text), &line) != nil || line.Event != event.ProcessStarted.Name() {
		return
	}
	select {
	case p.ready <- line:
	default:
	}
}
