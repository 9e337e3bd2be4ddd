// Package sock provides socket operations that package net lacks.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Inspector inspects a connection without consuming its data. It is not safe for concurrent use.
type Inspector struct {
	raw    syscall.RawConn
	peeked [1]byte
	idle   bool                  // result of the last read
	read   func(fd uintptr) bool // created once, as Idle is called for each request
}

// NewInspector returns an Inspector for a connection, which the caller still owns.
func NewInspector(raw syscall.RawConn) *Inspector {
	i := &Inspector{raw: raw}
	i.read = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), i.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		i.idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	}
	return i
}

// Idle reports whether the connection is open and has no data to read. The read deadline must not have passed.
func (i *Inspector) Idle() bool {
	i.idle = false
	return i.raw.Read(i.read) == nil && i.idle
}

// UserTimeout sets TCP_USER_TIMEOUT, the time for which sent data may stay unacknowledged. Errors are ignored.
func UserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		// On an error the kernel's default timeout applies, which is longer.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// States of a connection that the peer has closed: TCP_CLOSE_WAIT, TCP_LAST_ACK and TCP_CLOSE in the kernel's numbering.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// PeerClosed reports whether the peer has closed or reset a connection, even if data that it sent before was not read yet. It
// reports false for a connection that is not TCP, or whose state is not available.
func PeerClosed(c net.Conn) (closed bool) {
	tc, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait || info.State == tcpLastAck)
	})
	return closed
}
