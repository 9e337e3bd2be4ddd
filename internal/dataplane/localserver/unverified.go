package localserver

import (
	"maps"
	"slices"

	"ivydeck/internal/transport/wire"
)

const maxUnverified = 64 // servers that wait for verification

// Unverified holds the servers that this process knows only from the registry, which may be out of date, or from a heartbeat,
// which may be late: an earlier process of this node may have acknowledged meanwhile that the server leaves. The driver passes
// a server on to the Registry once it knows which departure of the server is recorded (package departure). Unverified is pure
// and not safe for concurrent use. The zero value is empty.
type Unverified struct {
	servers map[string]unverifiedServer // by ID
}

type unverifiedServer struct {
	Heartbeat
	registered bool // the server has not sent a heartbeat to this process
}

// Verdict is what the driver does with a verified server.
type Verdict int

// The verdicts.
const (
	Dropped     Verdict = iota // the server is not held any more, or must not be adopted because it is draining
	Departed                   // it has deregistered: pass it to Registry.Deregister
	Adoptable                  // pass it to Registry.Adopt
	HeartbeatOK                // pass the heartbeat to Registry.Heartbeat
)

// HoldHeartbeat holds a server that has sent a heartbeat. It returns false if too many servers are held.
func (u *Unverified) HoldHeartbeat(heartbeat Heartbeat) bool {
	if last, held := u.servers[heartbeat.ID]; held && !last.registered {
		draining := heartbeat.Draining || last.Draining
		if heartbeat.Seq < last.Seq {
			heartbeat = last.Heartbeat
		}
		heartbeat.Draining = draining
	}
	return u.hold(unverifiedServer{Heartbeat: heartbeat})
}

// HoldRegistered holds a server that the registry has for this machine, unless it is held already. It reports whether it does.
func (u *Unverified) HoldRegistered(server Heartbeat) bool {
	if _, held := u.servers[server.ID]; held {
		return false
	}
	return u.hold(unverifiedServer{server, true})
}

func (u *Unverified) hold(server unverifiedServer) bool {
	if _, held := u.servers[server.ID]; !held && len(u.servers) >= maxUnverified {
		return false
	}
	if u.servers == nil {
		u.servers = map[string]unverifiedServer{}
	}
	u.servers[server.ID] = server
	return true
}

// Drop drops a server.
func (u *Unverified) Drop(id string) { delete(u.servers, id) }

// DropRegistered drops a server that the registry has removed, unless it has sent a heartbeat.
func (u *Unverified) DropRegistered(id string) {
	if u.servers[id].registered {
		delete(u.servers, id)
	}
}

// IDs returns the IDs of the servers that are held, in sorted order.
func (u *Unverified) IDs() []string { return slices.Sorted(maps.Keys(u.servers)) }

// Release drops a server whose recorded departure has a phase, and returns the verdict on it.
func (u *Unverified) Release(id string, phase wire.Departure_Phase) (Heartbeat, Verdict) {
	server, held := u.servers[id]
	delete(u.servers, id)
	switch {
	case !held:
		return Heartbeat{}, Dropped
	case phase == wire.Departure_DEREGISTERED:
		return server.Heartbeat, Departed
	case server.registered && phase == wire.Departure_DRAINING: // its heartbeats tell whether it still runs
		return server.Heartbeat, Dropped
	case server.registered:
		return server.Heartbeat, Adoptable
	}
	server.Draining = server.Draining || phase == wire.Departure_DRAINING
	return server.Heartbeat, HeartbeatOK
}
