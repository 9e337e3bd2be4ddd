// Package sock looks at sockets beyond what package net shows; the balancer's
// node and the mesh's both use it.
package sock

import "syscall"

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
