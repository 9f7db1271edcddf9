package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// leaseMillis is the duration of the members' leases in these tests.
const leaseMillis = 2000

// systemSlots limits how many systems run at a time.
var systemSlots = make(chan struct{}, 4)

// serviceFile configures an idempotent and a non-idempotent kind.
const serviceFile = `services:
  - name: sizing
    kinds:
      - name: finCheck
        urgency: URGENCY_URGENT
        idempotent: true
        expectedRunMillis: 50
        deadlineMillis: 20000
        maxTasks: 460
      - name: labelRelease
        urgency: URGENCY_URGENT
        expectedRunMillis: 50
        deadlineMillis: 20000
        maxTasks: 460
`

// size is how many processes of each role a system has.
type size struct {
	controls, entries, agents int
}

// system is a complete system: a real process for each control host, entry and
// agent, each behind a fault-injecting link, and a stand-in backend server for
// each agent, which runs in the test process.
type system struct {
	t        *testing.T
	controls []*node
	entries  []*node
	agents   []*node
	standins []*standin.Server
	recorder *recorder
}

// node is a member or control host whose process can be restarted. Its links
// keep their addresses across restarts.
type node struct {
	t        *testing.T
	program  string
	id       string
	settings string
	link     *link
	announce *link
	// out holds the links by which a control host reaches the others.
	out []*link
	// outageLock is held while the process is meant to be down or frozen.
	outageLock sync.Mutex
	*daemon
}

// newSystem starts a system, publishes serviceFile and waits until each entry
// has completed a job.
func newSystem(t *testing.T, n size) *system {
	t.Helper()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	s := &system{t: t, recorder: newRecorder()}
	s.startControls(n.controls)
	for i := range n.agents {
		s.addAgent(i)
	}
	for i := range n.entries {
		s.addEntry(i)
	}
	s.publish(serviceFile)
	s.warmUp()
	return s
}

// startControls starts the control hosts. Each reaches the others by its own
// links, so that one host can be isolated in both directions.
func (s *system) startControls(n int) {
	for i := range n {
		id := fmt.Sprintf("control%d", i+1)
		s.controls = append(s.controls, &node{t: s.t, program: "control", id: id, link: newLink(s.t, id)})
	}
	for _, c := range s.controls {
		var peers strings.Builder
		for _, peer := range s.controls {
			address := c.link.address()
			if peer != c {
				out := newLink(s.t, c.id+"-to-"+peer.id)
				out.setUpstream(peer.link.address())
				c.out = append(c.out, out)
				address = out.address()
			}
			fmt.Fprintf(&peers, "  - id: %s\n    address: %s\n", peer.id, address)
		}
		c.settings = fmt.Sprintf("id: %s\nlisten: 127.0.0.1:0\ndataFolder: %s\nshards: 16\nleaseMillis: %d\nretentionMillis: 600000\npeers:\n%s",
			c.id, s.t.TempDir(), leaseMillis, peers.String())
		c.start()
	}
}

func (s *system) addAgent(i int) {
	id := fmt.Sprintf("worker%d", i+1)
	a := &node{t: s.t, program: "agent", id: id, link: newLink(s.t, id), announce: newLink(s.t, id+"-announce")}
	a.settings = fmt.Sprintf("id: %s\nlisten: 127.0.0.1:0\nannounce: 127.0.0.1:0\nadvertise: %s\nrack: rack%d\ndataCentre: suva\ncontrol: [%s]\n",
		id, a.link.address(), i+1, s.controlAddresses())
	a.start()
	s.agents = append(s.agents, a)
	s.standins = append(s.standins, startStandin(s.t, standin.Options{
		ID: fmt.Sprintf("backend%d", i+1), Service: "sizing", Agent: a.announce.address(), Slots: 8, Speed: 1}))
}

func (s *system) addEntry(i int) {
	id := fmt.Sprintf("entry%d", i+1)
	e := &node{t: s.t, program: "entry", id: id, link: newLink(s.t, id)}
	e.settings = fmt.Sprintf("id: %s\nlisten: 127.0.0.1:0\nadvertise: %s\nrack: rack%d\ndataCentre: suva\ncontrol: [%s]\n",
		id, e.link.address(), i+1, s.controlAddresses())
	e.start()
	s.entries = append(s.entries, e)
}

func (s *system) controlAddresses() string {
	var quoted []string
	for _, c := range s.controls {
		quoted = append(quoted, fmt.Sprintf("%q", c.link.address()))
	}
	return strings.Join(quoted, ", ")
}

// publish publishes a service file by way of the first control host that accepts
// it.
func (s *system) publish(text string) {
	s.t.Helper()
	folder := s.t.TempDir()
	is.New(s.t).NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(text), 0o600))
	var output string
	eventually(s.t, "the configuration is accepted", func() bool {
		for _, c := range s.controls {
			var code int
			code, output = runCommand(s.t, "publish", "--control", c.link.address(), folder)
			if code == 0 {
				return true
			}
		}
		s.t.Logf("publish: %s", output)
		return false
	})
}

// warmUp waits until every entry is ready and has completed a job.
func (s *system) warmUp() {
	s.t.Helper()
	for i := range s.entries {
		s.awaitReady(s.entries[i])
		s.awaitServing(i)
	}
}

// awaitReady waits until the /readyz of a process reports ready.
func (s *system) awaitReady(n *node) {
	s.t.Helper()
	eventually(s.t, n.id+" is ready", func() bool { return httpStatus(n.link.address(), "/readyz") == http.StatusOK })
}

// awaitServing submits new jobs at an entry until one is complete.
func (s *system) awaitServing(entry int) {
	s.t.Helper()
	n := 0
	var last answer
	defer func() {
		if s.t.Failed() {
			s.t.Logf("last answer of %s: %v", s.entries[entry].id, last)
		}
	}()
	eventually(s.t, "a job is completed by "+s.entries[entry].id, func() bool {
		n++
		last = s.send(entry, newJob(fmt.Sprintf("warm-%s-%d-%d", s.entries[entry].id, time.Now().UnixNano(), n), "finCheck", 4, 1).withSubmissionTime())
		return last.outcome == outcomeComplete
	})
}

// send submits a job at an entry and records the answer.
func (s *system) send(entry int, j job) answer {
	return s.recorder.submit(s.t.Context(), s.entries[entry].link.address(), j)
}

// sendAsync submits a job in the background. The returned channel receives the
// answer.
func (s *system) sendAsync(entry int, j job) <-chan answer {
	got := make(chan answer, 1)
	go func() { got <- s.send(entry, j) }()
	return got
}

// awaitOutcome polls a key at an entry until the answer has an outcome.
func (s *system) awaitOutcome(entry int, key string) answer {
	s.t.Helper()
	var a answer
	eventually(s.t, key+" has an outcome", func() bool {
		a = s.recorder.poll(s.t.Context(), s.entries[entry].link.address(), key)
		return a.hasOutcome()
	})
	return a
}

// awaitStarts waits until the stand-ins have recorded n task starts of a job.
func (s *system) awaitStarts(key string, n int) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("%d tasks of %s have started", n, key), func() bool { return len(s.startsOf(key)) >= n })
}

// startsOf returns the task starts of a job that the stand-ins recorded.
func (s *system) startsOf(key string) []standin.Start {
	var found []standin.Start
	for _, server := range s.standins {
		for _, start := range server.Starts() {
			if start.Job == key {
				found = append(found, start)
			}
		}
	}
	return found
}

// workerOf returns the index of the first worker whose stand-in recorded a start
// of a job.
func (s *system) workerOf(key string) int {
	for i, server := range s.standins {
		for _, start := range server.Starts() {
			if start.Job == key {
				return i
			}
		}
	}
	s.t.Fatalf("no worker started a task of %s", key)
	return 0
}

// checkInvariants checks the answers that the callers got against the task
// starts that the stand-ins recorded, and reports each violation.
func (s *system) checkInvariants() {
	s.t.Helper()
	var starts []standin.Start
	for _, server := range s.standins {
		starts = append(starts, server.Starts()...)
	}
	for _, violation := range s.recorder.violations(starts) {
		s.t.Error(violation)
	}
}

// nodes returns the control hosts, entries and agents.
func (s *system) nodes() []*node {
	var all []*node
	all = append(all, s.controls...)
	all = append(all, s.entries...)
	return append(all, s.agents...)
}

// start starts the process and points its links at the addresses where it
// listens.
func (n *node) start() {
	n.t.Helper()
	n.daemon = startDaemon(n.t, n.program, n.settings)
	n.link.setUpstream(n.daemon.address("address"))
	if n.announce != nil {
		n.announce.setUpstream(n.daemon.address("announce"))
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (n *node) kill() {
	n.t.Helper()
	n.signal(syscall.SIGKILL)
	n.wait()
}

// freeze suspends the process for d, as a long pause of its machine would.
func (n *node) freeze(d time.Duration) {
	n.outageLock.Lock()
	defer n.outageLock.Unlock()
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// restart starts the process again after it has exited.
func (n *node) restart() {
	n.t.Helper()
	n.start()
}

// isolate drops for d all traffic to a node and from it to other control hosts.
func (n *node) isolate(d time.Duration) {
	n.link.faultLock.Lock()
	defer n.link.faultLock.Unlock()
	links := append([]*link{n.link}, n.out...)
	for _, l := range links {
		l.drop(requests)
		l.drop(answers)
	}
	time.Sleep(d)
	for _, l := range links {
		l.restore()
	}
}

// supervise restarts processes that have exited, as a process supervisor would:
// a member that was declared dead exits by itself. The returned function ends
// the supervision.
func (s *system) supervise() (stop func()) {
	return runInBackground(func(ctx context.Context) {
		for ctx.Err() == nil {
			for _, n := range s.nodes() {
				n.restartIfEnded()
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// restartIfEnded restarts the process if it has exited outside a planned outage.
func (n *node) restartIfEnded() {
	n.outageLock.Lock()
	defer n.outageLock.Unlock()
	if n.ended() {
		n.restart()
	}
}

// httpStatus returns the status of a GET request, 0 if there is no answer.
func httpStatus(address, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	response, err := plainTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// runInBackground runs f in a goroutine. The returned function cancels the
// context of f and waits until f has returned.
func runInBackground(f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}
