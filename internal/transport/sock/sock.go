// Package sock has what the programs need of sockets beyond package net. The balancer's node and the mesh use it.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Inspector inspects a connection without reading from it. It belongs to one goroutine.
type Inspector struct {
	raw  syscall.RawConn
	one  [1]byte
	idle bool
	read func(fd uintptr) bool // made once, as it is needed for each request
}

// NewInspector returns an Inspector of a connection.
func NewInspector(raw syscall.RawConn) *Inspector {
	l := &Inspector{raw: raw}
	l.read = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), l.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		l.idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	}
	return l
}

// Idle reports whether a connection has nothing to read, not even its end.
// Its read deadline must not be past.
func (l *Inspector) Idle() bool {
	l.idle = false
	return l.raw.Read(l.read) == nil && l.idle
}

// UserTimeout bounds how long the kernel waits for the peer to take in what was sent. A system that has no such bound
// leaves the connection as it was.
func UserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		// An error leaves the kernel's own time-out, which only is longer.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}
