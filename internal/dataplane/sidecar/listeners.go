package sidecar

import (
	"fmt"
	"net"

	"ivydeck/internal/config/nodefile"
)

// listeners holds the listening sockets of a node.
type listeners struct {
	internal  net.Listener // RPCs of other nodes
	outbound  net.Listener // HTTP requests of clients
	control   net.Listener // heartbeats of the local server
	readiness net.Listener // readiness checks of the platform
}

// listen binds all addresses of the settings. On an error it closes those that it has already bound.
func listen(settings *nodefile.Settings) (*listeners, error) {
	l := new(listeners)
	for _, target := range []struct {
		listener *net.Listener
		address  string
	}{{&l.internal, settings.Internal()}, {&l.outbound, settings.Outbound}, {&l.control, settings.Control}, {&l.readiness, settings.Readiness}} {
		var err error
		if *target.listener, err = net.Listen("tcp", target.address); err != nil {
			l.close()
			return nil, fmt.Errorf("opening the listeners: %w", err)
		}
	}
	return l, nil
}

// close closes the listeners that are open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.internal, l.outbound, l.control, l.readiness} {
		if listener != nil {
			listener.Close()
		}
	}
}
