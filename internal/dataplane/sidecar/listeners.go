package sidecar

import (
	"fmt"
	"net"

	"ivydeck/internal/config/nodefile"
)

// listeners are where a node is called.
type listeners struct {
	internal  net.Listener // by other nodes
	outbound  net.Listener // by clients
	control   net.Listener // by the server beside it
	readiness net.Listener // by the platform
}

// listen opens all addresses of the settings, or none.
func listen(set *nodefile.Settings) (*listeners, error) {
	l := new(listeners)
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{{&l.internal, set.Internal()}, {&l.outbound, set.Outbound}, {&l.control, set.Control}, {&l.readiness, set.Readiness}} {
		var err error
		if *open.listener, err = net.Listen("tcp", open.address); err != nil {
			l.close()
			return nil, fmt.Errorf("listening: %w", err)
		}
	}
	return l, nil
}

// close closes those that are open.
func (l *listeners) close() {
	for _, open := range []net.Listener{l.internal, l.outbound, l.control, l.readiness} {
		if open != nil {
			open.Close()
		}
	}
}
