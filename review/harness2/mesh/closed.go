package mesh

import (
	"net"
	"syscall"
	"time"
)

// Closed waits for a time, or until the peer has closed the connection or reset it, and reports whether it has. It reads nothing.
func Closed(conn net.Conn, limit time.Duration) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		closed := false
		err := raw.Control(func(fd uintptr) {
			var buffer [1]byte
			n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			closed = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
		})
		if closed || err != nil {
			return true
		}
	}
	return false
}
