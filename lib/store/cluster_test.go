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

var errUnreachable = errors.New("host unreachable")

// syncTime is the duration of one sync of a test disk.
const syncTime = 9 * time.Millisecond

// disk is an in-memory folder whose writes take time. A power loss during an
// append leaves part of it.
type disk struct {
	mu          sync.Mutex
	files       map[string][]byte
	powerLosses int
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
	powerLosses := d.powerLosses
	d.mu.Unlock()
	time.Sleep(syncTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := powerLosses != d.powerLosses
	f(lost)
	if lost {
		return errors.New("power lost during write")
	}
	return nil
}

func (d *disk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerLosses++
}

// machine combines a job store with a membership that changes by commands of
// the same log.
type machine struct {
	jobs    *Machine
	members memberSet
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
	m.members = memberSet{}
	for _, member := range state.GetMembers() {
		m.members[ownerOf(member.GetIncarnation())] = true
	}
	return m.jobs.Restore(state.GetStore())
}

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

func (h *host) runService(ctx context.Context, s *Service) {
	defer h.done.Done()
	s.Run(ctx)
}

// cluster runs hosts over an in-memory network.
type cluster struct {
	t     testing.TB
	is    *is.I
	peers []*wire.LogHost

	mu    sync.Mutex
	hosts map[string]*host
	// isolated is the id of a host that cannot reach the other hosts, but that
	// entries can reach.
	isolated string
	// lossy makes about one call in four fail, either before or after it
	// arrives.
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
	h := &host{disk: d, machine: &machine{jobs: NewMachine(DefaultLimits()), members: memberSet{}}}
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
	go h.runService(ctx, service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[id] = h
}

// stop simulates a power loss of a host and returns its disk.
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

// restart simulates a simultaneous power loss of hosts and starts them again.
// The host wiped, if any, starts with an empty disk.
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

// leader waits until a host is an up-to-date leader and returns its id.
func (c *cluster) leader() string {
	c.t.Helper()
	for range 3000 {
		for _, id := range c.ids() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			h := c.host(id)
			leads := h != nil && h.node.Read(ctx, func(uint64) {}) == nil
			cancel()
			if leads {
				return id
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return ""
}

// proposeMembership commits a joinCommand or dieCommand.
func (c *cluster) proposeMembership(command string) {
	c.t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := c.host(c.leader()).node.Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return
		}
	}
	c.t.Fatal("the membership change was not committed")
}

// waitHealthy waits until all hosts are voters and have caught up.
func (c *cluster) waitHealthy() {
	c.t.Helper()
	for range 3000 {
		var status quorum.Status
		_ = c.host(c.leader()).node.ReadStatus(context.Background(), func(s quorum.Status) { status = s })
		healthy := 0
		for _, h := range status.Hosts {
			if h.Voter && h.Reached && h.Match == status.Commit {
				healthy++
			}
		}
		if healthy == len(c.peers) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal("not all hosts became voters and caught up")
}

// stopAll stops the hosts and must end each test in a synctest bubble.
func (c *cluster) stopAll() {
	c.stopHosts()
	time.Sleep(time.Minute) // let calls in flight finish
}

func (c *cluster) stopHosts() {
	for _, id := range c.ids() {
		if c.host(id) != nil {
			c.stop(id)
		}
	}
}

// deliver delays a message and fails if it is lost.
func (c *cluster) deliver(from, to string) error {
	time.Sleep(time.Millisecond + rand.N(2*time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	betweenHosts := from != "" && to != ""
	if betweenHosts && (from == c.isolated || to == c.isolated) || c.lossy && rand.N(8) == 0 {
		return errUnreachable
	}
	return nil
}

// RoundTrip implements http.RoundTripper: it carries an entry's call to a host.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := c.deliver("", r.URL.Host); err != nil {
		return nil, err
	}
	h := c.host(r.URL.Host)
	if h == nil {
		return nil, &net.OpError{Op: "dial", Err: errUnreachable}
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	if err := c.deliver(r.URL.Host, ""); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

func (c *cluster) client() *Client {
	return NewClient(&http.Client{Transport: c}, c.ids)
}

// transport implements quorum.Transport for one host of a cluster.
type transport struct {
	c    *cluster
	from string
}

func deliver[Q, R any](ctx context.Context, t *transport, to *wire.LogHost, q Q, f func(*quorum.Node, context.Context, Q) (R, error)) (R, error) {
	var none R
	if err := t.c.deliver(t.from, to.GetId()); err != nil {
		return none, err
	}
	h := t.c.host(to.GetId())
	if h == nil {
		return none, errUnreachable
	}
	r, err := f(h.node, ctx, q)
	if err == nil {
		err = t.c.deliver(to.GetId(), t.from)
	}
	return r, err
}

func (t *transport) Meet(ctx context.Context, to *wire.LogHost, q *wire.MeetRequest) (*wire.MeetReply, error) {
	return deliver(ctx, t, to, q, (*quorum.Node).Meet)
}

func (t *transport) Vote(ctx context.Context, to *wire.LogHost, q *wire.VoteRequest) (*wire.VoteReply, error) {
	return deliver(ctx, t, to, q, (*quorum.Node).Vote)
}

func (t *transport) Append(ctx context.Context, to *wire.LogHost, q *wire.AppendRequest) (*wire.AppendReply, error) {
	return deliver(ctx, t, to, q, (*quorum.Node).Append)
}

func (t *transport) Install(ctx context.Context, to *wire.LogHost, q *wire.InstallRequest) (*wire.InstallReply, error) {
	return deliver(ctx, t, to, q, (*quorum.Node).Install)
}

// distinctStates returns the number of different states among the hosts.
func (c *cluster) distinctStates() int {
	var distinctStates [][]byte
	for _, id := range c.ids() {
		h := c.host(id)
		_ = h.node.ReadStatus(context.Background(), func(quorum.Status) { distinctStates = append(distinctStates, h.machine.jobs.Snapshot()) })
	}
	return len(slices.CompactFunc(distinctStates, bytes.Equal))
}
