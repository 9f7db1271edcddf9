package ledger

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

// network delivers requests between members in memory. It counts them, and links
// can be cut.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[string]bool
	messages int
	bytes    int64
}

func newNetwork() *network {
	return &network{handlers: map[string]http.Handler{}, cut: map[string]bool{}}
}

// client returns the HTTP client of a member.
func (n *network) client(from string) *http.Client {
	return &http.Client{Transport: memoryTransport{network: n, from: from}}
}

// setCut cuts or restores the one-way link between two members.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[from+">"+to] = cut
}

type memoryTransport struct {
	network *network
	from    string
}

// RoundTrip implements http.RoundTripper.
func (l memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	l.network.mu.Lock()
	l.network.messages++
	l.network.bytes += max(r.ContentLength, 0)
	handler := l.network.handlers[r.URL.Host]
	cut := l.network.cut[l.from+">"+r.URL.Host] || handler == nil
	l.network.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// fakeDirectory is a Directory whose contents and lease are set by the test.
type fakeDirectory struct {
	mu           sync.Mutex
	directory    *wire.Directory
	changed      chan struct{}
	leaseExpired bool
}

func (d *fakeDirectory) Directory() *wire.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory
}

func (d *fakeDirectory) Current() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.leaseExpired
}

func (d *fakeDirectory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *fakeDirectory) set(directory *wire.Directory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory = directory
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDirectory) setLeaseExpired(leaseExpired bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaseExpired = leaseExpired
}

// cluster is a set of replicas and entries with one shard. It records the
// replicas' reports.
type cluster struct {
	t         testing.TB
	network   *network
	members   []*wire.Member
	replicas  map[string]*Replica
	clients   map[string]*Client
	followers map[string]*fakeDirectory
	view      *wire.View
	dead      []*wire.Incarnation

	mu      sync.Mutex
	reports []*wire.ReportRequest
}

// Report implements Reporter.
func (c *cluster) Report(_ context.Context, q *wire.ReportRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, q)
	return nil
}

func (c *cluster) reported() []*wire.ReportRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*wire.ReportRequest(nil), c.reports...)
}

// newCluster returns a cluster with agents a1 to an and entries e1 and e2. The
// view consists of the first three agents, or all if there are fewer.
func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{
		t: t, network: newNetwork(),
		replicas: map[string]*Replica{}, clients: map[string]*Client{}, followers: map[string]*fakeDirectory{},
	}
	var agents []string
	for i := range n {
		agents = append(agents, fmt.Sprintf("a%d", i+1))
	}
	for _, id := range agents {
		c.addMember(id, wire.Role_ROLE_AGENT)
	}
	for _, id := range []string{"e1", "e2"} {
		c.addMember(id, wire.Role_ROLE_ENTRY)
	}
	c.view = &wire.View{}
	c.publishView(agents[0], agents[1:min(3, n)], nil)
	return c
}

func (c *cluster) addMember(id string, role wire.Role) {
	inc := &wire.Incarnation{Id: id, Number: uint64(len(c.members) + 1)}
	c.members = append(c.members, &wire.Member{Incarnation: inc, Role: role, Address: id})
	follower := &fakeDirectory{directory: &wire.Directory{}, changed: make(chan struct{})}
	c.followers[id] = follower
	if role == wire.Role_ROLE_ENTRY {
		c.clients[id] = NewClient(inc, follower, c.network.client(id), tally.NoopScope)
		return
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c.replicas[id] = New(inc, follower, c, c.network.client(id), log, tally.NoopScope)
	c.network.handlers[id] = wire.NewLedgerServer(c.replicas[id])
}

func (c *cluster) incarnationOf(id string) *wire.Incarnation {
	for _, member := range c.members {
		if member.GetIncarnation().GetId() == id {
			return member.GetIncarnation()
		}
	}
	return nil
}

// publishView creates the next view and sends it to the named members, or to all
// if none is named.
func (c *cluster) publishView(primary string, backups, joining []string, followers ...string) {
	c.view = &wire.View{Epoch: c.view.GetEpoch() + 1, Primary: c.incarnationOf(primary), LostAtMillis: c.view.GetLostAtMillis()}
	for _, id := range backups {
		c.view.Backups = append(c.view.Backups, c.incarnationOf(id))
	}
	for _, id := range joining {
		c.view.Joining = append(c.view.Joining, c.incarnationOf(id))
	}
	c.updateDirectories(followers...)
}

// updateDirectories sends the newest directory to the named members, or to all
// if none is named.
func (c *cluster) updateDirectories(followers ...string) {
	directory := &wire.Directory{
		Version: c.view.GetEpoch(), Members: c.members, Views: []*wire.View{c.view}, Dead: c.dead,
		RetentionMillis: time.Hour.Milliseconds(),
	}
	for id, follower := range c.followers {
		if len(followers) == 0 || containsID(followers, id) {
			follower.set(directory)
		}
	}
}

func containsID(list []string, id string) bool {
	for _, one := range list {
		if one == id {
			return true
		}
	}
	return false
}

func digestOf(content string) []byte {
	sum := sha256.Sum256([]byte(content))
	return sum[:]
}

// holdRequest returns a request to hold a key.
func holdRequest(key string, claim uint64) *wire.HoldRequest {
	return &wire.HoldRequest{
		Key: key, Digest: digestOf("content"), Claim: claim,
		Spec: &wire.JobSpec{Service: "sizing", Kind: "finCheck", Payloads: [][]byte{[]byte("1")}},
	}
}

func finishRequest(key string, claim uint64, kind wire.OutcomeKind) *wire.FinishRequest {
	return &wire.FinishRequest{
		Key: key, Digest: digestOf("content"), Claim: claim,
		Outcome: &wire.Outcome{Kind: kind, Results: [][]byte{[]byte("2")}},
	}
}
