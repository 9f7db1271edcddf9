package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silencingListener accepts connections that can be made silent: they then
// discard the data written to them but stay open.
type silencingListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*silencingConn
}

type silencingConn struct {
	net.Conn

	mu     sync.Mutex
	silent chan struct{}
}

func (l *silencingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	silencing := &silencingConn{Conn: conn}
	l.conns = append(l.conns, silencing)
	return silencing, nil
}

// silence makes all open connections silent and returns their number.
func (l *silencingListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.mu.Lock()
		conn.silent = make(chan struct{})
		conn.mu.Unlock()
	}
	return len(l.conns)
}

// Write discards the data if the connection is silent.
func (c *silencingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent != nil {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// backgroundCaller makes calls from several goroutines.
type backgroundCaller struct {
	client *http.Client
	url    string
	done   sync.WaitGroup
}

func (c *backgroundCaller) run() {
	defer c.done.Done()
	_ = call(c.client, c.url, time.Second)
}

func call(client *http.Client, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TestSilentConnections makes all idle connections silent at once. One call
// then fails, and the next one must succeed over a new connection instead of
// timing out on another silent one.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) }))
	listener := &silencingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := Client(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}})
	url := "http://" + strings.TrimPrefix(server.URL, "http://")
	c := &backgroundCaller{client: client, url: url}
	for range 8 {
		c.done.Add(1)
		go c.run()
	}
	c.done.Wait()
	is.True(listener.silence() > 1)
	is.True(call(client, url, 200*time.Millisecond) != nil)
	is.NoErr(call(client, url, 2*time.Second))
}
