// Package sock looks at sockets beyond what package net shows; the balancer's
// node and the mesh's both use it.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Look looks at one connection; not for use by several goroutines.
type Look struct {
	raw   syscall.RawConn
	one   [1]byte
	quiet bool
	read  func(fd uintptr) bool // made once, as it is needed for each request
}

// NewLook returns a Look at a connection.
func NewLook(raw syscall.RawConn) *Look {
	l := &Look{raw: raw}
	l.read = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), l.one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		l.quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	}
	return l
}

// Quiet reports whether an idle connection has nothing to read, not even its end.
// Its read deadline must not be past.
func (l *Look) Quiet() bool {
	l.quiet = false
	return l.raw.Read(l.read) == nil && l.quiet
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
