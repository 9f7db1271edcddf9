package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/standin"
)

// waitTimeout bounds every wait for a condition. It only ends a wait that would
// never end; the tests check no latency with it.
const waitTimeout = 60 * time.Second

// binFolder is where TestMain puts the programs that it builds.
var binFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "skylarklane-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binFolder = folder
	build := exec.Command("go", "build", "-o", folder, "..", "../agent", "../control", "../entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// daemon is one process of the system: agent, control or entry.
type daemon struct {
	t       *testing.T
	program string
	command *exec.Cmd
	// ready holds the log line of the process start, with its addresses.
	ready  chan map[string]any
	exited chan struct{}

	mu  sync.Mutex
	log strings.Builder
}

// startDaemon starts a program with settings given as YAML.
func startDaemon(t *testing.T, program, settings string) *daemon {
	t.Helper()
	file := filepath.Join(t.TempDir(), program+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		t:       t,
		program: program,
		command: exec.Command(filepath.Join(binFolder, program), "--log-json", file),
		ready:   make(chan map[string]any, 1),
		exited:  make(chan struct{}),
	}
	output, err := d.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	d.command.Stderr = d.command.Stdout
	if err := d.command.Start(); err != nil {
		t.Fatal(err)
	}
	go d.readOutput(output)
	t.Cleanup(d.stop)
	return d
}

// address waits until the process logs that it has started and returns the
// address in the given field of that log line.
func (d *daemon) address(field string) string {
	d.t.Helper()
	select {
	case line := <-d.ready:
		d.ready <- line
		return line[field].(string)
	case <-d.exited:
		d.t.Fatalf("%s exited before it logged its start:\n%s", d.program, d.output())
	case <-time.After(waitTimeout):
		d.t.Fatalf("%s did not log its start in time:\n%s", d.program, d.output())
	}
	return ""
}

// signal sends s to the process.
func (d *daemon) signal(s syscall.Signal) {
	_ = d.command.Process.Signal(s)
}

// wait waits until the process has exited and returns its exit code.
func (d *daemon) wait() int {
	d.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(waitTimeout):
		d.t.Fatalf("%s did not exit in time:\n%s", d.program, d.output())
	}
	return d.command.ProcessState.ExitCode()
}

// ended reports whether the process has exited.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

func (d *daemon) output() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// stop kills the process, also a suspended one, and waits until it has exited.
// It logs the output of the process when the test has failed.
func (d *daemon) stop() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.exited
	if d.t.Failed() {
		d.t.Logf("log of %s:\n%s", d.program, d.output())
	}
}

// readOutput handles the output line by line until the process closes it.
func (d *daemon) readOutput(output io.Reader) {
	defer close(d.exited)
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		d.handleLine(lines.Text())
	}
	_ = d.command.Wait()
}

// handleLine keeps a line of the log and reports the process start on d.ready.
func (d *daemon) handleLine(text string) {
	d.mu.Lock()
	fmt.Fprintln(&d.log, text)
	d.mu.Unlock()
	var line map[string]any
	if json.Unmarshal([]byte(text), &line) != nil {
		return
	}
	if line[event.Key] == event.ProcessStarted.Name() {
		d.ready <- line
	}
}

// eventually waits until condition holds and fails the test after waitTimeout.
// The text expected names what is waited for.
func eventually(t *testing.T, expected string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", expected)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startStandin runs a stand-in backend server in the test process.
func startStandin(t *testing.T, options standin.Options) *standin.Server {
	t.Helper()
	server, err := standin.New(options)
	is.New(t).NoErr(err)
	go server.Run(t.Context())
	return server
}

// submit posts a job and returns the HTTP status and the body, or 0 and the
// error text without an answer. It never sends the request twice.
func submit(t *testing.T, entry, service, key, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+entry+"/v1/services/"+service+"/jobs", strings.NewReader(body))
	is.New(t).NoErr(err)
	r.Header.Set("Idempotency-Key", key)
	r.GetBody = nil
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// runCommand runs the skylarklane program until it exits and returns its exit
// code and output.
func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	c := exec.CommandContext(t.Context(), filepath.Join(binFolder, "skylarklane"), args...)
	output, _ := c.CombinedOutput()
	return c.ProcessState.ExitCode(), string(output)
}

// writeFile writes text to a new file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	return file
}

// sigterm asks a process to shut down gracefully.
const sigterm = syscall.SIGTERM

// containsWord reports whether one of the fields of text, split at white space,
// is word.
func containsWord(text, word string) bool {
	return slices.Contains(strings.Fields(text), word)
}
