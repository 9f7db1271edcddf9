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

	"skylarklane.example/lib/wire"
)

// callTimeout bounds one call to a control host.
const callTimeout = 3 * time.Second

// newControlGroup starts a system of control hosts only and waits for a leader.
func newControlGroup(t *testing.T, hosts int) *system {
	t.Helper()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	s := &system{t: t, recorder: newRecorder()}
	s.startControls(hosts)
	s.leader()
	return s
}

// control returns a client of the control host.
func (n *node) control() wire.Control {
	return wire.NewControlProtobufClient("http://"+n.link.address(), &http.Client{Transport: plainTransport})
}

// status returns the status that the control host reports, nil without an
// answer.
func (n *node) status() *wire.StatusReply {
	ctx, cancel := context.WithTimeout(n.t.Context(), callTimeout)
	defer cancel()
	reply, err := n.control().Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil
	}
	return reply
}

// dataFolder returns the data folder of the control host, from its settings.
func (n *node) dataFolder() string {
	_, rest, _ := strings.Cut(n.settings, "dataFolder: ")
	folder, _, _ := strings.Cut(rest, "\n")
	return folder
}

// leader waits until a control host reports itself as current, which only the
// leader does, and returns it.
func (s *system) leader() *node {
	s.t.Helper()
	var found *node
	eventually(s.t, "a control host is leader", func() bool {
		for _, c := range s.controls {
			if c.ended() {
				continue
			}
			if reply := c.status(); reply.GetCurrent() && reply.GetId() == c.id {
				found = c
				return true
			}
		}
		return false
	})
	return found
}

// controlsExcept returns all control hosts except one.
func (s *system) controlsExcept(excluded *node) []*node {
	var others []*node
	for _, c := range s.controls {
		if c != excluded {
			others = append(others, c)
		}
	}
	return others
}

// newChange returns a configuration change on a base version.
func newChange(id string, base uint64) *wire.PublishRequest {
	return &wire.PublishRequest{ChangeId: id, BaseVersion: base, Author: id, Services: []*wire.Service{{
		Name: "sizing", Kinds: []*wire.Kind{{Name: "finCheck", ExpectedRunMillis: int64(base)}}}}}
}

// publishAt publishes a change at the first of the given hosts that answers, and
// repeats the request until one does.
func (s *system) publishAt(hosts []*node, id string, base uint64) *wire.PublishReply {
	s.t.Helper()
	var reply *wire.PublishReply
	eventually(s.t, "an answer to change "+id, func() bool {
		for _, c := range hosts {
			ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
			answer, err := c.control().Publish(ctx, newChange(id, base))
			cancel()
			if err == nil {
				reply = answer
				return true
			}
		}
		return false
	})
	return reply
}

// publishAccepted publishes n changes that follow version base. Each must be
// accepted with the next version.
func (s *system) publishAccepted(hosts []*node, base, n int) {
	s.t.Helper()
	for i := base; i < base+n; i++ {
		reply := s.publishAt(hosts, fmt.Sprintf("change%d", i+1), uint64(i))
		if !reply.GetAccepted() || reply.GetVersion() != uint64(i+1) {
			s.t.Fatalf("change %d: %v", i+1, reply)
		}
	}
}

// checkHistory checks that the leader's history has exactly n changes, with the
// versions and change IDs that publishAccepted gave them.
func (s *system) checkHistory(n int) {
	s.t.Helper()
	is := is.New(s.t)
	reply, err := s.leader().control().History(s.t.Context(), &wire.HistoryRequest{Since: 1})
	is.NoErr(err)
	is.Equal(len(reply.GetChanges()), n)
	for i, one := range reply.GetChanges() {
		is.Equal(one.GetVersion(), uint64(i+1))
		is.Equal(one.GetChangeId(), fmt.Sprintf("change%d", i+1))
	}
}

// awaitVoters waits until every host is ready and the leader reports it as a voter
// that has all committed entries. Both are checked, because a host whose data
// folder is new knows it at once and the leader does not.
func (s *system) awaitVoters() {
	s.t.Helper()
	for _, c := range s.controls {
		s.awaitReady(c)
	}
	eventually(s.t, "all hosts are voters and have all committed entries", func() bool {
		reply := s.leader().status()
		for _, host := range reply.GetHosts() {
			if !host.GetVoter() || !host.GetReached() || host.GetMatchIndex() < reply.GetCommitIndex() {
				return false
			}
		}
		return len(reply.GetHosts()) == len(s.controls)
	})
}

// TestControlHostsKilled guards against changes that are lost or blocked when the
// leader is killed. With five hosts the next leader is killed as well, which
// leaves just a quorum.
func TestControlHostsKilled(t *testing.T) {
	for _, test := range []struct{ hosts, lost int }{{3, 1}, {5, 2}} {
		t.Run(fmt.Sprint(test.hosts), func(t *testing.T) {
			t.Parallel()
			s := newControlGroup(t, test.hosts)
			done := 0
			for range 3 {
				s.publishAccepted(s.controls, done, 3)
				targets := s.controls
				var lost []*node
				for range test.lost {
					leader := s.leader()
					leader.kill()
					lost = append(lost, leader)
				}
				s.publishAccepted(targets, done+3, 3)
				done += 6
				for _, host := range lost {
					host.restart()
				}
				s.awaitVoters()
			}
			s.checkHistory(done)
		})
	}
}

// TestControlDiskLost guards against lost changes when a host restarts with an
// empty disk. Each host loses its disk in turn; once it is a voter again, another
// host is killed, so that the quorum depends on the rebuilt one.
func TestControlDiskLost(t *testing.T) {
	t.Parallel()
	s := newControlGroup(t, 3)
	done := 0
	for i, host := range s.controls {
		s.publishAccepted(s.controls, done, 5)
		host.kill()
		is.New(t).NoErr(os.RemoveAll(host.dataFolder()))
		host.restart()
		s.awaitVoters()
		second := s.controls[(i+1)%3]
		second.kill()
		s.publishAccepted(s.controlsExcept(second), done+5, 5)
		done += 10
		s.checkHistory(done)
		second.restart()
		s.awaitVoters()
	}
}

// TestOldDisk guards against a host that restarts on an outdated data folder, such
// as one from a backup, after it has rejoined the group with a new one. It must
// refuse to run.
func TestOldDisk(t *testing.T) {
	t.Parallel()
	s := newControlGroup(t, 3)
	s.publishAccepted(s.controls, 0, 3)
	host := s.controls[0]
	host.kill()
	old := host.dataFolder() + "-old"
	is.New(t).NoErr(os.Rename(host.dataFolder(), old))
	host.restart()
	s.awaitVoters()
	host.kill()
	is.New(t).NoErr(os.RemoveAll(host.dataFolder()))
	is.New(t).NoErr(os.Rename(old, host.dataFolder()))
	host.restart()
	is.New(t).Equal(host.wait(), 1)
	is.New(t).True(strings.Contains(host.output(), "the group has gone on without this data folder"))
	s.publishAccepted(s.controlsExcept(host), 3, 1)
}

// TestOperatorsRace guards against lost updates: of several operators who publish
// on the same base version at once, one must win, and the others must learn which
// change won.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 3)
	replies := make([]*wire.PublishReply, 8)
	var racing sync.WaitGroup
	for i := range replies {
		racing.Go(func() { replies[i] = s.publishAt(s.controls[i%3:], fmt.Sprintf("racer%d", i), 0) })
	}
	racing.Wait()
	winner := ""
	for i, reply := range replies {
		if reply.GetAccepted() {
			is.Equal(winner, "") // only one change is accepted
			winner = fmt.Sprintf("racer%d", i)
		}
	}
	is.True(winner != "")
	for i, reply := range replies {
		if fmt.Sprintf("racer%d", i) != winner {
			is.Equal(reply.GetWinnerChangeId(), winner) // the others learn the accepted change
		}
	}
	is.Equal(s.leader().status().GetDirectory().GetConfigVersion(), uint64(1))
}

// TestLostAnswer guards against a change that is made twice, or reported as
// refused, when an operator repeats a command whose answer was lost. The repeated
// command must report the version already accepted, also after all hosts have
// restarted.
func TestLostAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 3)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(finCheckService), 0o600))
	leader := s.leader()
	publish := func(c *node, base string) (int, string) {
		return runCommand(t, "publish", "--control", c.link.address(), "--timeout", "6s", "--no-wait", "--base", base, "--change-id", "once", folder)
	}
	leader.link.dropAndClose(answers)
	code, output := publish(leader, "0")
	is.Equal(code, 1)
	is.True(strings.Contains(output, "the outcome is unknown; repeat with --change-id once --base 0"))
	leader.link.restore()
	s.leader()
	code, output = publish(leader, "0")
	is.Equal(code, 0)
	is.True(strings.Contains(output, "version 1 is accepted"))
	for _, c := range s.controls {
		c.kill()
	}
	for _, c := range s.controls {
		c.restart()
	}
	s.leader()
	code, output = publish(s.controls[1], "0")
	is.Equal(code, 0)
	is.True(strings.Contains(output, "version 1 is accepted"))
	code, output = publish(s.controls[1], "1") // a different change with the same change ID
	is.Equal(code, 3)
	is.True(strings.Contains(output, "change id once is already used by another change"))
}

// TestConfigCommands checks the output of the `skylarklane config` commands on a
// history of three changes.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 1)
	s.publishAccepted(s.controls, 0, 3)
	address := s.controls[0].link.address()
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"log"}, "change3"},
		{[]string{"log", "--output", "json"}, `"changeId": "change1"`},
		{[]string{"show", "2"}, "finCheck"},
		{[]string{"show", "--output", "json"}, `"expectedRunMillis": 2`},
		{[]string{"diff"}, "services.sizing.finCheck.expectedRunMillis  1       2"},
		{[]string{"diff", "1", "3", "--output", "json"}, `"after": "2"`},
	} {
		code, output := runCommand(t, append(append([]string{"config"}, test.args...), "--control", address)...)
		is.Equal(code, 0)
		if !strings.Contains(output, test.want) {
			t.Errorf("%v: %s", test.args, output)
		}
	}
	code, _ := runCommand(t, "config", "show", "9", "--control", address)
	is.Equal(code, 3)
}

// TestHostsMove guards against lost changes when a control host is replaced, as
// when a machine is retired: a host with a new ID is added, then an old one is
// removed.
func TestHostsMove(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 3)
	s.publishAccepted(s.controls, 0, 3)
	old := s.controlsExcept(s.leader())[0]
	added := &node{t: t, program: "control", id: "control4", link: newLink(t, "control4")}
	added.settings = fmt.Sprintf("id: control4\nlisten: 127.0.0.1:0\ndataFolder: %s\nshards: 16\nleaseMillis: %d\nretentionMillis: 600000\npeers:\n",
		t.TempDir(), leaseMillis)
	for _, c := range append([]*node{added}, s.controls...) {
		added.settings += fmt.Sprintf("  - id: %s\n    address: %s\n", c.id, c.link.address())
	}
	added.start()
	code, output := runCommand(t, "hosts", "add", "control4", added.link.address(), "--control", old.link.address())
	is.Equal(output, "the control group has been changed; check with skylarklane status\n")
	is.Equal(code, 0)
	s.controls = append(s.controls, added)
	s.awaitVoters()
	code, _ = runCommand(t, "hosts", "remove", old.id, "--control", old.link.address())
	is.Equal(code, 0)
	is.Equal(old.wait(), 1) // it exits once it learns that it was removed
	s.controls = s.controlsExcept(old)
	s.awaitVoters()
	code, output = runCommand(t, "hosts", "remove", old.id, "--control", added.link.address())
	is.Equal(code, 3)
	is.True(strings.Contains(output, "the group has no host "+old.id))
	s.leader().kill()
	s.publishAccepted(s.controls, 3, 3)
	s.checkHistory(6)
}

// TestStatusOfHosts guards against outdated status shown as current. It asks a
// follower before and after the other hosts are killed; without a quorum its
// status must be marked as not current.
func TestStatusOfHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 3)
	s.awaitVoters()
	follower := s.controlsExcept(s.leader())[0]
	code, output := runCommand(t, "status", "--control", follower.link.address())
	is.Equal(code, 0)
	is.True(strings.Contains(output, "CONTROL HOST"))
	is.True(!strings.Contains(output, "NOT CURRENT"))
	for _, c := range s.controlsExcept(follower) {
		c.kill()
	}
	eventually(t, "the status of the last host is marked as not current", func() bool {
		_, output := runCommand(t, "status", "--control", follower.link.address())
		return strings.Contains(output, "NOT CURRENT")
	})
	eventually(t, "the last host is not ready", func() bool {
		return httpStatus(follower.link.address(), "/readyz") == http.StatusServiceUnavailable
	})
	is.Equal(httpStatus(follower.link.address(), "/healthz"), http.StatusOK)
}

// versionPoller records the configuration versions that a host reports as current.
type versionPoller struct {
	host *node
	mu   sync.Mutex
	seen []uint64
}

// run polls the host from several goroutines until ctx ends, so that requests are
// pending at a suspended host when it resumes and reach it before it notices that
// time has passed.
func (c *versionPoller) run(ctx context.Context) {
	var pollers sync.WaitGroup
	for range 8 {
		pollers.Go(func() { c.poll(ctx) })
	}
	pollers.Wait()
}

func (c *versionPoller) poll(ctx context.Context) {
	for ctx.Err() == nil {
		if reply := c.host.status(); reply.GetCurrent() && reply.GetId() == c.host.id {
			c.mu.Lock()
			c.seen = append(c.seen, reply.GetDirectory().GetConfigVersion())
			c.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLeaderCutOff guards against a deposed leader that accepts changes or reports
// outdated configuration as current. The leader is isolated or suspended while
// the others elect a new one and accept changes. What it then reports as current
// must not be older than the changes accepted before it returned.
func TestLeaderCutOff(t *testing.T) {
	for _, test := range []struct {
		name    string
		cut     func(s *system, leader *node)
		restore func(s *system, leader *node)
	}{
		{"isolated", func(s *system, leader *node) {
			for _, l := range s.linksWith(leader) {
				l.drop(requests)
				l.drop(answers)
			}
		}, func(s *system, leader *node) {
			for _, l := range s.linksWith(leader) {
				l.restore()
			}
		}},
		{"frozen", func(_ *system, leader *node) { leader.suspend() }, func(_ *system, leader *node) { leader.signal(syscall.SIGCONT) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newControlGroup(t, 3)
			s.publishAccepted(s.controls, 0, 2)
			old := s.leader()
			test.cut(s, old)
			lost := make(chan error, 1)
			go s.publishToIsolated(old, lost)
			s.publishAccepted(s.controlsExcept(old), 2, 3)
			poller := &versionPoller{host: old}
			stop := runInBackground(poller.run)
			time.Sleep(time.Second) // poll while it is still cut off
			test.restore(s, old)
			s.publishAccepted(s.controlsExcept(old), 5, 3)
			s.awaitVoters()
			stop()
			for _, version := range poller.seen {
				is.True(version >= 5) // no older version is reported as current
			}
			is.True(<-lost != nil) // the isolated leader accepted nothing
			s.checkHistory(8)
		})
	}
}

// linksWith returns the links between one control host and the others.
func (s *system) linksWith(host *node) []*link {
	found := append([]*link(nil), host.out...)
	for _, c := range s.controlsExcept(host) {
		for _, l := range c.out {
			if strings.HasSuffix(l.proxy.Name, "-to-"+host.id) {
				found = append(found, l)
			}
		}
	}
	return found
}

// suspend stops a process with SIGSTOP and waits until all of its threads are
// stopped.
func (n *node) suspend() {
	n.t.Helper()
	n.signal(syscall.SIGSTOP)
	eventually(n.t, n.id+" is suspended", func() bool {
		threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", n.command.Process.Pid))
		for _, thread := range threads {
			b, _ := os.ReadFile(thread)
			if !strings.Contains(string(b), "State:\tT") {
				return false
			}
		}
		return len(threads) > 0
	})
}

// publishToIsolated publishes a change at a leader that cannot reach the others,
// on version 2, the same base as the next change of the others. It sends an error
// to lost unless the change was accepted.
func (s *system) publishToIsolated(leader *node, lost chan<- error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
	defer cancel()
	reply, err := leader.control().Publish(ctx, newChange("lost", 2))
	if err == nil && !reply.GetAccepted() {
		err = fmt.Errorf("refused: %s", reply.GetReason())
	}
	lost <- err
}

// TestHundredsOfChangesLate guards against processes that cannot catch up. A
// control host and two members are down for 300 changes and must have the newest
// version after they restart.
func TestHundredsOfChangesLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 3)
	s.addAgent(0)
	s.addEntry(0)
	s.awaitReady(s.agents[0])
	s.publishAccepted(s.controls, 0, 1)
	stoppedHost := s.controlsExcept(s.leader())[0]
	for _, n := range []*node{stoppedHost, s.agents[0], s.entries[0]} {
		n.kill()
	}
	s.publishAccepted(s.controlsExcept(stoppedHost), 1, 300)
	for _, n := range []*node{stoppedHost, s.agents[0], s.entries[0]} {
		n.restart()
	}
	s.awaitVoters()
	eventually(t, "both members have the newest version", func() bool {
		reply := s.leader().status()
		followers := 0
		for _, member := range reply.GetMembers() {
			if member.GetDirectoryVersion() == reply.GetDirectory().GetVersion() {
				followers++
			}
		}
		return followers == 2
	})
	is.Equal(stoppedHost.status().GetDirectory().GetConfigVersion(), uint64(301))
	s.checkHistory(301)
}

// TestMembersCutOff guards against an entry that accepts jobs on an expired lease.
// It is cut off from the control group; once its lease has expired, it must not
// be ready and must start no task of a new job.
func TestMembersCutOff(t *testing.T) {
	t.Parallel()
	s := newSystem(t, size{controls: 1, entries: 1, agents: 1})
	defer s.supervise()()
	control := s.controls[0]
	control.link.drop(requests)
	eventually(t, "the entry is not ready", func() bool {
		return httpStatus(s.entries[0].link.address(), "/readyz") == http.StatusServiceUnavailable
	})
	refused := s.send(0, newJob("while-cut-off", "finCheck", 4, 1))
	is.New(t).True(refused.outcome != outcomeComplete)
	is.New(t).Equal(len(s.startsOf("while-cut-off")), 0)
	control.link.restore()
	s.awaitReady(s.entries[0])
	s.awaitServing(0)
	s.checkInvariants()
}

// TestFlippedBit guards against a control host that runs on damaged data. One bit
// of one of its files is flipped: it must name the file and exit, and the other
// hosts must go on.
func TestFlippedBit(t *testing.T) {
	for _, test := range []struct{ file string }{{"log"}, {"snapshot"}, {"vote"}, {"identity"}} {
		t.Run(test.file, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newControlGroup(t, 3)
			s.publishAccepted(s.controls, 0, 5)
			host := s.controls[0]
			host.kill()
			path := filepath.Join(host.dataFolder(), test.file)
			b, err := os.ReadFile(path)
			is.NoErr(err)
			b[len(b)/3] ^= 4
			is.NoErr(os.WriteFile(path, b, 0o600))
			host.daemon = startDaemon(t, host.program, host.settings)
			is.Equal(host.wait(), 1)
			is.True(strings.Contains(host.output(), "file "+test.file+" is damaged"))
			s.publishAccepted(s.controlsExcept(host), 5, 1)
			is.NoErr(os.RemoveAll(host.dataFolder())) // the repair that the error message asks for
			host.restart()
			s.awaitVoters()
			s.checkHistory(6)
		})
	}
}
