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

// newGroup starts control hosts alone and waits for a leader.
func newGroup(t *testing.T, hosts int) *system {
	t.Helper()
	scenarios <- struct{}{}
	t.Cleanup(func() { <-scenarios })
	s := &system{t: t, journal: newJournal()}
	s.startControls(hosts)
	s.leader()
	return s
}

// control returns a client of one control host.
func (n *node) control() wire.Control {
	return wire.NewControlProtobufClient("http://"+n.link.address(), &http.Client{Transport: plainTransport})
}

// status asks a control host, nil where it does not answer.
func (n *node) status() *wire.StatusReply {
	ctx, cancel := context.WithTimeout(n.t.Context(), callTimeout)
	defer cancel()
	reply, err := n.control().Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil
	}
	return reply
}

// dataFolder returns where a control host keeps its files.
func (n *node) dataFolder() string {
	_, rest, _ := strings.Cut(n.settings, "dataFolder: ")
	folder, _, _ := strings.Cut(rest, "\n")
	return folder
}

// leader waits until a control host is current and returns it.
func (s *system) leader() *node {
	s.t.Helper()
	var found *node
	eventually(s.t, "a control host leads", func() bool {
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

// without returns the control hosts but one.
func (s *system) without(one *node) []*node {
	var others []*node
	for _, c := range s.controls {
		if c != one {
			others = append(others, c)
		}
	}
	return others
}

// change is what test operators publish.
func change(id string, base uint64) *wire.PublishRequest {
	return &wire.PublishRequest{ChangeId: id, BaseVersion: base, Author: id, Services: []*wire.Service{{
		Name: "sizing", Kinds: []*wire.Kind{{Name: "finCheck", ExpectedRunMillis: int64(base)}}}}}
}

// publishAt puts a change into force at one of some hosts; it is sent again
// until there is an answer.
func (s *system) publishAt(hosts []*node, id string, base uint64) *wire.PublishReply {
	s.t.Helper()
	var reply *wire.PublishReply
	eventually(s.t, "an answer to change "+id, func() bool {
		for _, c := range hosts {
			ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
			answer, err := c.control().Publish(ctx, change(id, base))
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

// accept publishes changes from base on, which must all be accepted.
func (s *system) accept(hosts []*node, base, n int) {
	s.t.Helper()
	for i := base; i < base+n; i++ {
		reply := s.publishAt(hosts, fmt.Sprintf("change%d", i+1), uint64(i))
		if !reply.GetAccepted() || reply.GetVersion() != uint64(i+1) {
			s.t.Fatalf("change %d: %v", i+1, reply)
		}
	}
}

// checkHistory requires that a host that is current knows exactly n changes,
// each as it was accepted.
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

// awaitVoters waits until every host belongs to the group, and the leader
// counts it as a voter that has what is committed. Only a host itself can tell
// at once that its folder is new.
func (s *system) awaitVoters() {
	s.t.Helper()
	for _, c := range s.controls {
		s.awaitReady(c)
	}
	eventually(s.t, "all hosts vote and follow", func() bool {
		reply := s.leader().status()
		for _, host := range reply.GetHosts() {
			if !host.GetVoter() || !host.GetReached() || host.GetMatchIndex() < reply.GetCommitIndex() {
				return false
			}
		}
		return len(reply.GetHosts()) == len(s.controls)
	})
}

// TestControlHostsKilled kills the leader, and with five hosts another one,
// while changes go on.
func TestControlHostsKilled(t *testing.T) {
	for _, test := range []struct{ hosts, lost int }{{3, 1}, {5, 2}} {
		t.Run(fmt.Sprint(test.hosts), func(t *testing.T) {
			t.Parallel()
			s := newGroup(t, test.hosts)
			done := 0
			for range 3 {
				s.accept(s.controls, done, 3)
				left := s.controls
				var lost []*node
				for range test.lost {
					leader := s.leader()
					leader.kill()
					lost = append(lost, leader)
				}
				s.accept(left, done+3, 3)
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

// TestControlDiskLost loses one host's disk after another's; each time a
// second host is killed right after the repair.
func TestControlDiskLost(t *testing.T) {
	t.Parallel()
	s := newGroup(t, 3)
	done := 0
	for i, host := range s.controls {
		s.accept(s.controls, done, 5)
		host.kill()
		is.New(t).NoErr(os.RemoveAll(host.dataFolder()))
		host.restart()
		s.awaitVoters()
		second := s.controls[(i+1)%3]
		second.kill()
		s.accept(s.without(second), done+5, 5)
		done += 10
		s.checkHistory(done)
		second.restart()
		s.awaitVoters()
	}
}

// TestOldDisk brings back a data folder that another has taken the place of.
func TestOldDisk(t *testing.T) {
	t.Parallel()
	s := newGroup(t, 3)
	s.accept(s.controls, 0, 3)
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
	s.accept(s.without(host), 3, 1)
}

// TestOperatorsRace has operators publish at once, each on the same base.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 3)
	replies := make([]*wire.PublishReply, 8)
	var racing sync.WaitGroup
	for i := range replies {
		racing.Go(func() { replies[i] = s.publishAt(s.controls[i%3:], fmt.Sprintf("racer%d", i), 0) })
	}
	racing.Wait()
	winner := ""
	for i, reply := range replies {
		if reply.GetAccepted() {
			is.Equal(winner, "") // one wins
			winner = fmt.Sprintf("racer%d", i)
		}
	}
	is.True(winner != "")
	for i, reply := range replies {
		if fmt.Sprintf("racer%d", i) != winner {
			is.Equal(reply.GetWinnerChangeId(), winner) // and the others learn who
		}
	}
	is.Equal(s.leader().status().GetDirectory().GetConfigVersion(), uint64(1))
}

// TestLostAnswer loses the answer to an operator's command. The same command
// again tells that the change was made, also after all hosts have restarted.
func TestLostAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 3)
	folder := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(folder, "skylarklane.yaml"), []byte(finCheckService), 0o600))
	leader := s.leader()
	publish := func(c *node, base string) (int, string) {
		return command(t, "publish", "--control", c.link.address(), "--timeout", "6s", "--no-wait", "--base", base, "--change-id", "once", folder)
	}
	leader.link.lose(answers)
	code, output := publish(leader, "0")
	is.Equal(code, 1)
	is.True(strings.Contains(output, "the outcome is unknown; repeat with --change-id once --base 0"))
	leader.link.heal()
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
	code, output = publish(s.controls[1], "1") // another change under the same id
	is.Equal(code, 3)
	is.True(strings.Contains(output, "change id once already stands for another change"))
}

// TestConfigCommands shows the history as operators see it.
func TestConfigCommands(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 1)
	s.accept(s.controls, 0, 3)
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
		code, output := command(t, append(append([]string{"config"}, test.args...), "--control", address)...)
		is.Equal(code, 0)
		if !strings.Contains(output, test.want) {
			t.Errorf("%v: %s", test.args, output)
		}
	}
	code, _ := command(t, "config", "show", "9", "--control", address)
	is.Equal(code, 3)
}

// TestHostsMove adds a host of a new id and removes an old one, as a machine
// is retired.
func TestHostsMove(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 3)
	s.accept(s.controls, 0, 3)
	old := s.without(s.leader())[0]
	added := &node{t: t, part: "control", id: "control4", link: newLink(t, "control4")}
	added.settings = fmt.Sprintf("id: control4\nlisten: 127.0.0.1:0\ndataFolder: %s\nshards: 16\nleaseMillis: %d\nretentionMillis: 600000\npeers:\n",
		t.TempDir(), leaseMillis)
	for _, c := range append([]*node{added}, s.controls...) {
		added.settings += fmt.Sprintf("  - id: %s\n    address: %s\n", c.id, c.link.address())
	}
	added.start()
	code, output := command(t, "hosts", "add", "control4", added.link.address(), "--control", old.link.address())
	is.Equal(output, "the control group is changed; see skylarklane status\n")
	is.Equal(code, 0)
	s.controls = append(s.controls, added)
	s.awaitVoters()
	code, _ = command(t, "hosts", "remove", old.id, "--control", old.link.address())
	is.Equal(code, 0)
	is.Equal(old.wait(), 1) // it learns that the group goes on without it
	s.controls = s.without(old)
	s.awaitVoters()
	code, output = command(t, "hosts", "remove", old.id, "--control", added.link.address())
	is.Equal(code, 3)
	is.True(strings.Contains(output, "the group has no host "+old.id))
	s.leader().kill()
	s.accept(s.controls, 3, 3)
	s.checkHistory(6)
}

// TestStatusOfHosts asks a host that does not lead, before and after the
// others are gone.
func TestStatusOfHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 3)
	s.awaitVoters()
	follower := s.without(s.leader())[0]
	code, output := command(t, "status", "--control", follower.link.address())
	is.Equal(code, 0)
	is.True(strings.Contains(output, "CONTROL HOST"))
	is.True(!strings.Contains(output, "NOT CURRENT"))
	for _, c := range s.without(follower) {
		c.kill()
	}
	eventually(t, "the last host says that it is not current", func() bool {
		_, output := command(t, "status", "--control", follower.link.address())
		return strings.Contains(output, "NOT CURRENT")
	})
	eventually(t, "the last host is not ready", func() bool {
		return statusOf(follower.link.address(), "/readyz") == http.StatusServiceUnavailable
	})
	is.Equal(statusOf(follower.link.address(), "/healthz"), http.StatusOK)
}

// currentVersions reads the versions that a host serves as current, in order,
// until ctx ends.
type currentVersions struct {
	host *node
	mu   sync.Mutex
	seen []uint64
}

// run keeps several requests waiting, so that some reach a frozen host before
// it learns that time has passed.
func (c *currentVersions) run(ctx context.Context) {
	var asking sync.WaitGroup
	for range 8 {
		asking.Go(func() { c.ask(ctx) })
	}
	asking.Wait()
}

func (c *currentVersions) ask(ctx context.Context) {
	for ctx.Err() == nil {
		if reply := c.host.status(); reply.GetCurrent() && reply.GetId() == c.host.id {
			c.mu.Lock()
			c.seen = append(c.seen, reply.GetDirectory().GetConfigVersion())
			c.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLeaderCutOff isolates or freezes the leader while the others go on. It
// accepts nothing meanwhile, and what it serves as current when it is back is
// no older than what was accepted before.
func TestLeaderCutOff(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(s *system, leader *node)
		heal func(s *system, leader *node)
	}{
		{"isolated", func(s *system, leader *node) {
			for _, l := range s.linksWith(leader) {
				l.silence(requests)
				l.silence(answers)
			}
		}, func(s *system, leader *node) {
			for _, l := range s.linksWith(leader) {
				l.heal()
			}
		}},
		{"frozen", func(_ *system, leader *node) { leader.stopped() }, func(_ *system, leader *node) { leader.signal(syscall.SIGCONT) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newGroup(t, 3)
			s.accept(s.controls, 0, 2)
			old := s.leader()
			test.cut(s, old)
			lost := make(chan error, 1)
			go s.publishLost(old, lost)
			s.accept(s.without(old), 2, 3)
			watch := &currentVersions{host: old}
			stop := background(watch.run)
			time.Sleep(time.Second) // it is asked while it is still cut off
			test.heal(s, old)
			s.accept(s.without(old), 5, 3)
			s.awaitVoters()
			stop()
			for _, version := range watch.seen {
				is.True(version >= 5) // nothing older is served as current
			}
			is.True(<-lost != nil) // the cut off leader accepted nothing
			s.checkHistory(8)
		})
	}
}

// linksWith returns the links between one control host and the others.
func (s *system) linksWith(one *node) []*link {
	found := append([]*link(nil), one.out...)
	for _, c := range s.without(one) {
		for _, l := range c.out {
			if strings.HasSuffix(l.proxy.Name, "-to-"+one.id) {
				found = append(found, l)
			}
		}
	}
	return found
}

// stopped halts a process and waits until all of its threads are halted.
func (n *node) stopped() {
	n.t.Helper()
	n.signal(syscall.SIGSTOP)
	eventually(n.t, n.id+" is halted", func() bool {
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

// publishLost publishes at a leader that cannot reach the others. The change
// has the base that the others' next change has.
func (s *system) publishLost(leader *node, lost chan<- error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
	defer cancel()
	reply, err := leader.control().Publish(ctx, change("lost", 2))
	if err == nil && !reply.GetAccepted() {
		err = fmt.Errorf("refused: %s", reply.GetReason())
	}
	lost <- err
}

// TestHundredsOfChangesLate has a control host and two members miss 300
// changes, and follow the newest soon after they start again.
func TestHundredsOfChangesLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 3)
	s.addAgent(0)
	s.addEntry(0)
	s.awaitReady(s.agents[0])
	s.accept(s.controls, 0, 1)
	away := s.without(s.leader())[0]
	for _, n := range []*node{away, s.agents[0], s.entries[0]} {
		n.kill()
	}
	s.accept(s.without(away), 1, 300)
	for _, n := range []*node{away, s.agents[0], s.entries[0]} {
		n.restart()
	}
	s.awaitVoters()
	eventually(t, "both members follow the newest version", func() bool {
		reply := s.leader().status()
		followers := 0
		for _, member := range reply.GetMembers() {
			if member.GetDirectoryVersion() == reply.GetDirectory().GetVersion() {
				followers++
			}
		}
		return followers == 2
	})
	is.Equal(away.status().GetDirectory().GetConfigVersion(), uint64(301))
	s.checkHistory(301)
}

// TestMembersCutOff cuts an entry off from the control group: once its lease
// is over it takes no new work, and says so truly.
func TestMembersCutOff(t *testing.T) {
	t.Parallel()
	s := newSystem(t, size{controls: 1, entries: 1, agents: 1})
	defer s.supervise()()
	control := s.controls[0]
	control.link.silence(requests)
	eventually(t, "the entry is not ready", func() bool {
		return statusOf(s.entries[0].link.address(), "/readyz") == http.StatusServiceUnavailable
	})
	refused := s.send(0, newJob("while-cut-off", "finCheck", 4, 1))
	is.New(t).True(refused.outcome != outcomeComplete)
	is.New(t).Equal(len(s.startsOf("while-cut-off")), 0)
	control.link.heal()
	s.awaitReady(s.entries[0])
	s.awaitJob(0)
	s.judge()
}

// TestFlippedBit damages one bit of each file of a control host: it must say
// so and stop, and the others go on.
func TestFlippedBit(t *testing.T) {
	for _, test := range []struct{ file string }{{"log"}, {"snapshot"}, {"vote"}, {"identity"}} {
		t.Run(test.file, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newGroup(t, 3)
			s.accept(s.controls, 0, 5)
			host := s.controls[0]
			host.kill()
			path := filepath.Join(host.dataFolder(), test.file)
			b, err := os.ReadFile(path)
			is.NoErr(err)
			b[len(b)/3] ^= 4
			is.NoErr(os.WriteFile(path, b, 0o600))
			host.daemon = startDaemon(t, host.part, host.settings)
			is.Equal(host.wait(), 1)
			is.True(strings.Contains(host.output(), "file "+test.file+" is damaged"))
			s.accept(s.without(host), 5, 1)
			is.NoErr(os.RemoveAll(host.dataFolder())) // what the message says to do
			host.restart()
			s.awaitVoters()
			s.checkHistory(6)
		})
	}
}
