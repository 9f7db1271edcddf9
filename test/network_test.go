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

// direction is a way through a proxy.
type direction string

// The directions: requests go upstream, answers downstream.
const (
	requests direction = "upstream"
	answers  direction = "downstream"
)

// link is the fault-injecting proxy before one address of a daemon.
type link struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
	// lock is held for the time of a fault.
	lock sync.Mutex
}

// newLink opens a link on a port from the kernel. It refuses connections
// until it is led to an address.
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

// address is what others connect to.
func (l *link) address() string { return l.proxy.Listen }

// lead lets the link end at address from now on.
func (l *link) lead(address string) {
	l.proxy.Lock()
	defer l.proxy.Unlock()
	l.proxy.Upstream = address
}

// silence drops all bytes of one direction without closing a connection.
func (l *link) silence(d direction) {
	l.add("silent-"+string(d), "timeout", d, `{"timeout":0}`)
}

// lose drops all bytes of one direction and closes the connection a little
// later.
func (l *link) lose(d direction) {
	l.add("lose-"+string(d), "timeout", d, `{"timeout":50}`)
}

// delay holds the bytes of one direction back, each connection differently, so
// that what was sent later can arrive earlier.
func (l *link) delay(d direction, millis, jitter int) {
	l.add("delay-"+string(d), "latency", d, fmt.Sprintf(`{"latency":%d,"jitter":%d}`, millis, jitter))
}

// heal takes all faults away. Connections that lost bytes are closed.
func (l *link) heal() {
	l.proxy.Toxics.ResetToxics()
}

func (l *link) add(name, kind string, d direction, attributes string) {
	l.t.Helper()
	toxic := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, d, attributes)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	is.New(l.t).NoErr(err)
}
