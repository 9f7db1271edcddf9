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

// leaseMillis is the members' lease in these scenarios.
const leaseMillis = 2000

// scenarios bounds how many systems run at a time.
var scenarios = make(chan struct{}, 4)

// serviceFile has an idempotent and an unrepeatable kind.
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

// system is a whole system of real processes, each behind a link, with a
// stand-in backend server for each agent in this process.
type system struct {
	t        *testing.T
	controls []*node
	entries  []*node
	agents   []*node
	standins []*standin.Server
	journal  *journal
}

// node is one place for a daemon; restarts keep its addresses.
type node struct {
	t        *testing.T
	part     string
	id       string
	settings string
	link     *link
	announce *link
	// out are the links by which a control host reaches the others.
	out []*link
	// lock is held for the time of an outage.
	lock sync.Mutex
	*daemon
}

// newSystem starts a system, puts a configuration into force and waits until
// each entry has answered a job.
func newSystem(t *testing.T, n size) *system {
	t.Helper()
	scenarios <- struct{}{}
	t.Cleanup(func() { <-scenarios })
	s := &system{t: t, journal: newJournal()}
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

// startControls starts the control hosts. Each reaches the others by links of
// its own, so that one can be cut off whole.
func (s *system) startControls(n int) {
	for i := range n {
		id := fmt.Sprintf("control%d", i+1)
		s.controls = append(s.controls, &node{t: s.t, part: "control", id: id, link: newLink(s.t, id)})
	}
	for _, c := range s.controls {
		var peers strings.Builder
		for _, peer := range s.controls {
			address := c.link.address()
			if peer != c {
				out := newLink(s.t, c.id+"-to-"+peer.id)
				out.lead(peer.link.address())
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
	a := &node{t: s.t, part: "agent", id: id, link: newLink(s.t, id), announce: newLink(s.t, id+"-announce")}
	a.settings = fmt.Sprintf("id: %s\nlisten: 127.0.0.1:0\nannounce: 127.0.0.1:0\nadvertise: %s\nrack: rack%d\ndataCentre: suva\ncontrol: [%s]\n",
		id, a.link.address(), i+1, s.controlAddresses())
	a.start()
	s.agents = append(s.agents, a)
	s.standins = append(s.standins, startStandin(s.t, standin.Options{
		ID: fmt.Sprintf("backend%d", i+1), Service: "sizing", Agent: a.announce.address(), Slots: 8, Speed: 1}))
}

func (s *system) addEntry(i int) {
	id := fmt.Sprintf("entry%d", i+1)
	e := &node{t: s.t, part: "entry", id: id, link: newLink(s.t, id)}
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

// publish puts a service file into force.
func (s *system) publish(text string) {
	s.t.Helper()
	folder := s.t.TempDir()
	is.New(s.t).NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(text), 0o600))
	var output string
	eventually(s.t, "the configuration is accepted", func() bool {
		for _, c := range s.controls {
			var code int
			code, output = command(s.t, "publish", "--control", c.link.address(), folder)
			if code == 0 {
				return true
			}
		}
		s.t.Logf("publish: %s", output)
		return false
	})
}

// warmUp waits until every entry is ready and has answered a job.
func (s *system) warmUp() {
	s.t.Helper()
	for i := range s.entries {
		s.awaitReady(s.entries[i])
		s.awaitJob(i)
	}
}

// awaitReady waits until a member says that it takes work.
func (s *system) awaitReady(n *node) {
	s.t.Helper()
	eventually(s.t, n.id+" is ready", func() bool { return statusOf(n.link.address(), "/readyz") == http.StatusOK })
}

// awaitJob waits until an entry completes a fresh job.
func (s *system) awaitJob(entry int) {
	s.t.Helper()
	n := 0
	var last answer
	defer func() {
		if s.t.Failed() {
			s.t.Logf("last answer of %s: %v", s.entries[entry].id, last)
		}
	}()
	eventually(s.t, "a job is answered by "+s.entries[entry].id, func() bool {
		n++
		last = s.send(entry, newJob(fmt.Sprintf("warm-%s-%d-%d", s.entries[entry].id, time.Now().UnixNano(), n), "finCheck", 4, 1).stamped())
		return last.outcome == outcomeComplete
	})
}

// send submits a job at an entry and records the answer.
func (s *system) send(entry int, j job) answer {
	return s.journal.submit(s.t.Context(), s.entries[entry].link.address(), j)
}

// sendAsync submits a job in the background and returns where the answer will
// be.
func (s *system) sendAsync(entry int, j job) <-chan answer {
	got := make(chan answer, 1)
	go func() { got <- s.send(entry, j) }()
	return got
}

// settle polls a key at an entry until there is an outcome.
func (s *system) settle(entry int, key string) answer {
	s.t.Helper()
	var a answer
	eventually(s.t, key+" has an outcome", func() bool {
		a = s.journal.poll(s.t.Context(), s.entries[entry].link.address(), key)
		return a.final()
	})
	return a
}

// awaitStarts waits until n starts of a job have reached the stand-ins.
func (s *system) awaitStarts(key string, n int) {
	s.t.Helper()
	eventually(s.t, fmt.Sprintf("%d tasks of %s have started", n, key), func() bool { return len(s.startsOf(key)) >= n })
}

// startsOf returns the starts of a job that the stand-ins saw.
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

// workerOf returns the number of the worker that saw the last start of a job.
func (s *system) workerOf(key string) int {
	for i, server := range s.standins {
		for _, start := range server.Starts() {
			if start.Job == key {
				return i
			}
		}
	}
	s.t.Fatalf("no worker saw %s", key)
	return 0
}

// judge checks everything that must always hold, from the records of the
// callers and of the stand-ins.
func (s *system) judge() {
	s.t.Helper()
	var starts []standin.Start
	for _, server := range s.standins {
		starts = append(starts, server.Starts()...)
	}
	for _, fault := range s.journal.faults(starts) {
		s.t.Error(fault)
	}
}

// nodes returns all places of the system.
func (s *system) nodes() []*node {
	var all []*node
	all = append(all, s.controls...)
	all = append(all, s.entries...)
	return append(all, s.agents...)
}

// start runs the daemon and leads the links to it.
func (n *node) start() {
	n.t.Helper()
	n.daemon = startDaemon(n.t, n.part, n.settings)
	n.link.lead(n.daemon.address("address"))
	if n.announce != nil {
		n.announce.lead(n.daemon.address("announce"))
	}
}

// kill ends the daemon at once.
func (n *node) kill() {
	n.t.Helper()
	n.signal(syscall.SIGKILL)
	n.wait()
}

// freeze stops the daemon for d, as a long pause of the machine would.
func (n *node) freeze(d time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// restart starts the daemon anew.
func (n *node) restart() {
	n.t.Helper()
	n.start()
}

// isolate cuts a process off for d: nothing reaches it, and it reaches no
// control host.
func (n *node) isolate(d time.Duration) {
	n.link.lock.Lock()
	defer n.link.lock.Unlock()
	links := append([]*link{n.link}, n.out...)
	for _, l := range links {
		l.silence(requests)
		l.silence(answers)
	}
	time.Sleep(d)
	for _, l := range links {
		l.heal()
	}
}

// supervise starts daemons again that have ended, as a supervisor would: one
// that was declared dead ends by itself. It returns how to stop that.
func (s *system) supervise() (stop func()) {
	return background(func(ctx context.Context) {
		for ctx.Err() == nil {
			for _, n := range s.nodes() {
				n.revive()
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// revive starts the daemon again where it has ended by itself.
func (n *node) revive() {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.ended() {
		n.restart()
	}
}

// statusOf returns the status of a GET, 0 where there is no answer.
func statusOf(address, path string) int {
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

// background runs f until the returned function is called and waits for it.
func background(f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}
