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

// patience bounds every wait for a condition; it is no expectation of speed.
const patience = 60 * time.Second

// bin is the folder of the programs under test.
var bin string

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
	bin = folder
	build := exec.Command("go", "build", "-o", folder, "..", "../agent", "../control", "../entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// daemon is one running process of the system.
type daemon struct {
	t       *testing.T
	part    string
	command *exec.Cmd
	ready   chan map[string]any
	exited  chan struct{}

	mu  sync.Mutex
	log strings.Builder
}

// startDaemon starts a program on its settings, written as YAML.
func startDaemon(t *testing.T, part, settings string) *daemon {
	t.Helper()
	file := filepath.Join(t.TempDir(), part+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		t:       t,
		part:    part,
		command: exec.Command(filepath.Join(bin, part), "--log-json", file),
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
	go d.run(output)
	t.Cleanup(d.stop)
	return d
}

// address waits until the process is ready and returns where it listens.
func (d *daemon) address(field string) string {
	d.t.Helper()
	select {
	case line := <-d.ready:
		d.ready <- line
		return line[field].(string)
	case <-d.exited:
		d.t.Fatalf("%s ended before it was ready:\n%s", d.part, d.output())
	case <-time.After(patience):
		d.t.Fatalf("%s did not become ready:\n%s", d.part, d.output())
	}
	return ""
}

// signal sends s to the process.
func (d *daemon) signal(s syscall.Signal) {
	_ = d.command.Process.Signal(s)
}

// wait waits until the process has ended and returns its exit code.
func (d *daemon) wait() int {
	d.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(patience):
		d.t.Fatalf("%s did not end:\n%s", d.part, d.output())
	}
	return d.command.ProcessState.ExitCode()
}

// ended tells whether the process has ended.
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

// stop ends the process at once and waits for it.
func (d *daemon) stop() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.exited
	if d.t.Failed() {
		d.t.Logf("log of %s:\n%s", d.part, d.output())
	}
}

func (d *daemon) run(output io.Reader) {
	defer close(d.exited)
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		d.take(lines.Text())
	}
	_ = d.command.Wait()
}

func (d *daemon) take(text string) {
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

// eventually waits until condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("still not so: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startStandin runs a stand-in backend server in this process.
func startStandin(t *testing.T, options standin.Options) *standin.Server {
	t.Helper()
	server, err := standin.New(options)
	is.New(t).NoErr(err)
	go server.Run(t.Context())
	return server
}

// submit posts a job and returns the status and the body.
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

// command runs the skylarklane program to its end.
func command(t *testing.T, args ...string) (int, string) {
	t.Helper()
	c := exec.CommandContext(t.Context(), filepath.Join(bin, "skylarklane"), args...)
	output, _ := c.CombinedOutput()
	return c.ProcessState.ExitCode(), string(output)
}

// writeFile writes text to a fresh file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	return file
}

// sigterm asks a process to end in good order.
const sigterm = syscall.SIGTERM

// containsWord tells whether a field of text is word.
func containsWord(text, word string) bool {
	return slices.Contains(strings.Fields(text), word)
}
