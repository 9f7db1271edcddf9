package process

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// maxHandshakeBytes is how much of a TLS handshake is read from a client, with its
// certificates. crypto/tls would hold messages of 64 KiB.
const maxHandshakeBytes = 12 << 10

// handshakeListener bounds the handshakes of the connections that it accepts.
type handshakeListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l handshakeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &handshakeConn{Conn: c}
	h.left.Store(maxHandshakeBytes)
	return h, nil
}

// handshakeConn is a connection below TLS.
type handshakeConn struct {
	net.Conn
	// left is how much may be read before the handshake is complete.
	left     atomic.Int64
	complete atomic.Bool
}

// Read implements net.Conn.
func (c *handshakeConn) Read(b []byte) (int, error) {
	if c.complete.Load() {
		return c.Conn.Read(b)
	}
	if c.left.Load() <= 0 {
		return 0, &Error{Op: "read", Kind: KindOverload, Err: eris.New("the TLS handshake is too large")}
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left.Load())])
	c.left.Add(-int64(n))
	return n, err
}
