package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/wire"
)

var errCut = errors.New("cut")

// syncTime is what a sync of a test's disk takes.
const syncTime = 9 * time.Millisecond

// disk is a folder whose writes take time. A loss of power during one leaves
// a part of it.
type disk struct {
	mu    sync.Mutex
	files map[string][]byte
	// losses counts the losses of power.
	losses int
}

func newDisk() *disk { return &disk{files: map[string][]byte{}} }

func (d *disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, found := d.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(b), nil
}

func (d *disk) Replace(name string, b []byte) error {
	return d.write(func(lost bool) {
		if !lost {
			d.files[name] = slices.Clone(b)
		}
	})
}

func (d *disk) Append(name string, b []byte) error {
	return d.write(func(lost bool) {
		if lost {
			b = b[:rand.N(len(b))]
		}
		d.files[name] = append(d.files[name], b...)
	})
}

func (d *disk) write(f func(lost bool)) error {
	d.mu.Lock()
	losses := d.losses
	d.mu.Unlock()
	time.Sleep(syncTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := losses != d.losses
	f(lost)
	if lost {
		return errors.New("no power")
	}
	return nil
}

func (d *disk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.losses++
}

// machine is a store among members that join and die by commands of the log.
type machine struct {
	jobs    *Machine
	members group
}

const (
	joinCommand = "join "
	dieCommand  = "die "
)

// Apply implements quorum.Machine.
func (m *machine) Apply(_ uint64, b []byte) any {
	if id, ok := strings.CutPrefix(string(b), joinCommand); ok {
		m.members[owner{id: id, number: 1}] = true
		return nil
	}
	if id, ok := strings.CutPrefix(string(b), dieCommand); ok {
		delete(m.members, owner{id: id, number: 1})
		return nil
	}
	command := &wire.StoreCommand{}
	decode(b, command)
	return m.jobs.Apply(command, m.members)
}

// Snapshot implements quorum.Machine.
func (m *machine) Snapshot() []byte {
	state := &wire.ControlState{Store: m.jobs.Snapshot()}
	for o := range m.members {
		state.Members = append(state.Members, &wire.Member{Incarnation: o.incarnation()})
	}
	return encode(state)
}

// Restore implements quorum.Machine.
func (m *machine) Restore(b []byte) error {
	state := &wire.ControlState{}
	if err := proto.Unmarshal(b, state); err != nil {
		return err
	}
	m.members = group{}
	for _, member := range state.GetMembers() {
		m.members[ownerOf(member.GetIncarnation())] = true
	}
	return m.jobs.Restore(state.GetStore())
}

// host is one running host of a test.
type host struct {
	node    *quorum.Node
	machine *machine
	disk    *disk
	handler http.Handler
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// Propose implements Log.
func (h *host) Propose(ctx context.Context, command *wire.StoreCommand) (any, error) {
	return h.node.Propose(ctx, encode(command))
}

// Read implements Log.
func (h *host) Read(ctx context.Context, f func(*Machine, Members, uint64)) error {
	return h.node.Read(ctx, func(term uint64) { f(h.machine.jobs, h.machine.members, term) })
}

// Leader implements Log.
func (h *host) Leader(err error) string {
	var e *quorum.Error
	if errors.As(err, &e) {
		return e.Address
	}
	return ""
}

func (h *host) run(ctx context.Context) {
	defer h.done.Done()
	_ = h.node.Run(ctx)
}

func (h *host) loop(ctx context.Context, s *Service) {
	defer h.done.Done()
	s.Run(ctx)
}

// cluster runs hosts over a network in memory.
type cluster struct {
	t     testing.TB
	is    *is.I
	peers []*wire.LogHost

	mu    sync.Mutex
	hosts map[string]*host
	// alone is a host that is cut off from the others, but not from entries.
	alone string
	// lossy makes one call in four fail, before or after it arrives.
	lossy bool
}

func newCluster(t testing.TB, ids ...string) *cluster {
	c := &cluster{t: t, is: is.New(t), hosts: map[string]*host{}}
	for _, id := range ids {
		c.peers = append(c.peers, &wire.LogHost{Id: id, Address: id})
	}
	for _, id := range ids {
		c.start(id, newDisk())
	}
	return c
}

func (c *cluster) start(id string, d *disk) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h := &host{disk: d, machine: &machine{jobs: NewMachine(DefaultLimits()), members: group{}}}
	cfg := quorum.Config{ID: id, Peers: c.peers, CompactBytes: 3000}
	var err error
	h.node, err = quorum.New(cfg, &transport{c, id}, d, h.machine, log)
	c.is.NoErr(err)
	service := NewService(h, time.Now, log, tally.NoopScope)
	h.handler = wire.NewJobStoreServer(service)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Add(2)
	go h.run(ctx)
	go h.loop(ctx, service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[id] = h
}

// stop takes a host's power.
func (c *cluster) stop(id string) *disk {
	h := c.host(id)
	c.mu.Lock()
	delete(c.hosts, id)
	c.mu.Unlock()
	h.disk.losePower()
	h.cancel()
	h.done.Wait()
	return h.disk
}

// restart takes the power of hosts at the same time and gives it back; those
// that lose their disks get empty ones.
func (c *cluster) restart(ids []string, wiped string) {
	disks := map[string]*disk{}
	for _, id := range ids {
		c.host(id).disk.losePower()
	}
	for _, id := range ids {
		disks[id] = c.stop(id)
	}
	time.Sleep(100 * time.Millisecond)
	for _, id := range ids {
		if id == wiped {
			disks[id] = newDisk()
		}
		c.start(id, disks[id])
	}
}

func (c *cluster) host(id string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[id]
}

func (c *cluster) ids() []string {
	var ids []string
	for _, peer := range c.peers {
		ids = append(ids, peer.GetId())
	}
	return ids
}

// leader waits for a host that leads and is current.
func (c *cluster) leader() string {
	c.t.Helper()
	for range 3000 {
		for _, id := range c.ids() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			h := c.host(id)
			led := h != nil && h.node.Read(ctx, func(uint64) {}) == nil
			cancel()
			if led {
				return id
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return ""
}

// change has the log carry out that a member joins or dies.
func (c *cluster) change(command string) {
	c.t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := c.host(c.leader()).node.Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return
		}
	}
	c.t.Fatal("not carried out")
}

// whole waits until all hosts have votes and follow.
func (c *cluster) whole() {
	c.t.Helper()
	for range 3000 {
		var status quorum.Status
		_ = c.host(c.leader()).node.Peek(context.Background(), func(s quorum.Status) { status = s })
		good := 0
		for _, h := range status.Hosts {
			if h.Voter && h.Reached && h.Match == status.Commit {
				good++
			}
		}
		if good == len(c.peers) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("the group is not whole")
}

// stopAll ends a test in a bubble.
func (c *cluster) stopAll() {
	c.stopHosts()
	time.Sleep(time.Minute) // calls on their way arrive
}

func (c *cluster) stopHosts() {
	for _, id := range c.ids() {
		if c.host(id) != nil {
			c.stop(id)
		}
	}
}

// pass waits for a message on its way, and fails it where it is lost.
func (c *cluster) pass(from, to string) error {
	time.Sleep(time.Millisecond + rand.N(2*time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	between := from != "" && to != ""
	if between && (from == c.alone || to == c.alone) || c.lossy && rand.N(8) == 0 {
		return errCut
	}
	return nil
}

// RoundTrip brings an entry's call to a host; so the cluster is a transport.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := c.pass("", r.URL.Host); err != nil {
		return nil, err
	}
	h := c.host(r.URL.Host)
	if h == nil {
		return nil, &net.OpError{Op: "dial", Err: errCut}
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	if err := c.pass(r.URL.Host, ""); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

func (c *cluster) client() *Client {
	return NewClient(&http.Client{Transport: c}, c.ids)
}

// transport carries the calls between hosts.
type transport struct {
	c    *cluster
	from string
}

func pass[Q, R any](ctx context.Context, t *transport, to *wire.LogHost, q Q, f func(*quorum.Node, context.Context, Q) (R, error)) (R, error) {
	var none R
	if err := t.c.pass(t.from, to.GetId()); err != nil {
		return none, err
	}
	h := t.c.host(to.GetId())
	if h == nil {
		return none, errCut
	}
	r, err := f(h.node, ctx, q)
	if err == nil {
		err = t.c.pass(to.GetId(), t.from)
	}
	return r, err
}

func (t *transport) Meet(ctx context.Context, to *wire.LogHost, q *wire.MeetRequest) (*wire.MeetReply, error) {
	return pass(ctx, t, to, q, (*quorum.Node).Meet)
}

func (t *transport) Vote(ctx context.Context, to *wire.LogHost, q *wire.VoteRequest) (*wire.VoteReply, error) {
	return pass(ctx, t, to, q, (*quorum.Node).Vote)
}

func (t *transport) Append(ctx context.Context, to *wire.LogHost, q *wire.AppendRequest) (*wire.AppendReply, error) {
	return pass(ctx, t, to, q, (*quorum.Node).Append)
}

func (t *transport) Install(ctx context.Context, to *wire.LogHost, q *wire.InstallRequest) (*wire.InstallReply, error) {
	return pass(ctx, t, to, q, (*quorum.Node).Install)
}

// states returns the different states that the hosts have.
func (c *cluster) states() int {
	var states [][]byte
	for _, id := range c.ids() {
		h := c.host(id)
		_ = h.node.Peek(context.Background(), func(quorum.Status) { states = append(states, h.machine.jobs.Snapshot()) })
	}
	return len(slices.CompactFunc(states, bytes.Equal))
}
