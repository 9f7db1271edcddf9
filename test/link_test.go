package test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// direction is the direction of traffic through a proxy, by its name in
// Toxiproxy.
type direction string

// Requests go upstream to the process, answers downstream to its client.
const (
	requests direction = "upstream"
	answers  direction = "downstream"
)

// link is a fault-injecting proxy in front of one address of a process.
type link struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
	// faultLock is held while a fault is injected.
	faultLock sync.Mutex
}

// newLink opens a link on a free port. Connections through it fail until
// setUpstream is called.
func newLink(t *testing.T, name string) *link {
	t.Helper()
	logrus.SetOutput(io.Discard)
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = "127.0.0.1:0"
	is.New(t).NoErr(proxy.Start())
	t.Cleanup(proxy.Stop)
	return &link{t: t, proxy: proxy}
}

// address returns the address that clients connect to.
func (l *link) address() string { return l.proxy.Listen }

// setUpstream forwards new connections to address.
func (l *link) setUpstream(address string) {
	l.proxy.Lock()
	defer l.proxy.Unlock()
	l.proxy.Upstream = address
}

// drop discards all bytes in one direction and leaves the connections open.
func (l *link) drop(d direction) {
	l.addToxic("silent-"+string(d), "timeout", d, `{"timeout":0}`)
}

// dropAndClose discards all bytes in one direction and closes the connection
// 50 ms later.
func (l *link) dropAndClose(d direction) {
	l.addToxic("lose-"+string(d), "timeout", d, `{"timeout":50}`)
}

// delay delays the bytes in one direction with random jitter for each connection,
// so that messages on different connections can be reordered.
func (l *link) delay(d direction, millis, jitter int) {
	l.addToxic("delay-"+string(d), "latency", d, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, millis, jitter))
}

// restore removes all faults. Connections that lost bytes are closed.
func (l *link) restore() {
	l.proxy.Toxics.ResetToxics()
}

// addToxic injects a fault of a type of Toxiproxy, which calls it a toxic.
func (l *link) addToxic(name, kind string, d direction, attributes string) {
	l.t.Helper()
	toxic := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, d, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	is.New(l.t).NoErr(err)
}
