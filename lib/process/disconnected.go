package process

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// IsDisconnected reports whether the client has closed or reset the connection of
// a request, once its body was read. The request's context ends then too, but only
// some time after the request was read. Connections that are not plain TCP count as
// open.
func IsDisconnected(r *http.Request) bool {
	limited := connectionOf(r.Context())
	if limited == nil {
		return false
	}
	c, ok := limited.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(c)
	return n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
}

// peek returns the number of bytes, at most 1, that wait to be read from a connection,
// and 0 without an error if it was closed by its client.
func peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

// hasUnread reports whether bytes of the client wait to be read, as the process has had
// no processor time since they arrived.
func (c *limitedConn) hasUnread() bool {
	socket, ok := c.tcp.(syscall.Conn)
	if !ok {
		return false
	}
	n, err := peek(socket)
	return err == nil && n > 0
}
