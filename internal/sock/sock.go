// Package sock looks at sockets beyond what package net shows; the balancer's
// node and the mesh's both use it.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Quiet tells whether an idle connection has nothing to read, not even its end.
// Its read deadline must not be past.
func Quiet(raw syscall.RawConn) bool {
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
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
