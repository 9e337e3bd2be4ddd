package lab

import (
	"cmp"
	"slices"
	"time"

	"ivydeck/internal/controlplane/departure"
	"ivydeck/internal/controlplane/raft"
	"ivydeck/internal/dataplane/localserver"
	"ivydeck/internal/transport/wire"
)

const (
	departureTimeout    = 700 * time.Millisecond
	departureRetryPause = 100 * time.Millisecond
)

// recordDepartures records and looks up departures at this member, and responds once its disk has them. It must be called in
// the event loop.
func (m *quorumMember) recordDepartures(request *wire.DepartureRequest, respond func(*wire.DepartureResponse)) {
	if !m.departures.Accept(m.sim.now, request) {
		respond(&wire.DepartureResponse{})
		return
	}
	m.unsavedRequests = append(m.unsavedRequests, func() { respond(m.departures.Response(request)) })
}

// departuresSaved responds to the requests whose departures are on disk.
func (m *quorumMember) departuresSaved() {
	requests := m.unsavedRequests
	m.unsavedRequests = nil
	for _, respond := range requests {
		respond()
	}
}

// askVoters sends a request to all voters, and responds once a majority has responded or no further response can come. It must
// be called in the event loop.
func (m *quorumMember) askVoters(request *wire.DepartureRequest, respond func(*wire.DepartureResponse)) {
	peers := m.raft.Peers()
	if len(request.Record) > 0 && raft.Voters(peers) < raft.MinAckVoters(faultTolerance, len(m.sim.members)) {
		respond(&wire.DepartureResponse{})
		return
	}
	r := &departureRound{member: m, request: request, round: departure.NewRound(peers), respond: respond}
	r.advance()
}

// departureRound is a request to the voters in progress.
type departureRound struct {
	member   *quorumMember
	request  *wire.DepartureRequest
	round    *departure.Round
	inFlight int
	ended    bool
	respond  func(*wire.DepartureResponse)
}

// advance asks the voters that were not asked yet, and responds if the round is complete or has failed.
func (r *departureRound) advance() {
	targets := r.round.Next()
	slices.SortFunc(targets, func(a, b departure.Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, target := range targets {
		r.ask(target)
	}
	switch {
	case r.ended:
	case r.round.Complete():
		r.ended = true
		r.respond(&wire.DepartureResponse{Ok: true, Found: r.round.Found()})
	case r.inFlight == 0:
		r.ended = true
		r.respond(&wire.DepartureResponse{})
	}
}

func (r *departureRound) ask(target departure.Target) {
	voter := r.member.sim.memberByID(target.ID)
	if voter == nil {
		return
	}
	r.inFlight++
	addressed := &wire.DepartureRequest{Target: target.ID, Record: r.request.Record, Lookup: r.request.Lookup}
	r.member.sim.call(&r.member.machine, &voter.machine, rpcBytes, departureTimeout, func(answer func(int, func())) {
		voter.post(func() {
			voter.recordDepartures(addressed, func(response *wire.DepartureResponse) {
				answer(rpcBytes, func() {
					r.inFlight--
					r.round.Add(target.ID, response)
					r.advance()
				})
			})
		})
	}, func(bool) {
		r.inFlight--
		r.advance()
	})
}

// offerDepartures brings the departures on this member's disk into the log, or to the leader.
func (m *quorumMember) offerDepartures() {
	forward := m.departures.Offer(m.sim.now)
	leader := m.leader()
	if len(forward) == 0 || leader == nil {
		return
	}
	request := &wire.DepartureRequest{Target: leader.disk.ID, Record: forward}
	m.sim.call(&m.machine, &leader.machine, rpcBytes, departureTimeout, func(func(int, func())) {
		leader.post(func() { leader.recordDepartures(request, func(*wire.DepartureResponse) {}) })
	}, func(bool) {})
}

// callVoters sends a request for a majority to a random quorum member.
func (n *node) callVoters(request *wire.DepartureRequest, done func(response *wire.DepartureResponse, ok bool)) {
	member := n.sim.members[n.sim.rng.IntN(len(n.sim.members))]
	n.sim.call(&n.machine, &member.machine, rpcBytes, departureTimeout, func(answer func(int, func())) {
		member.post(func() {
			member.askVoters(request, func(response *wire.DepartureResponse) {
				answer(rpcBytes, func() { done(response, response.Ok) })
			})
		})
	}, func(bool) { done(nil, false) })
}

// heartbeat processes a heartbeat of the local server, as package sidecar does. A server that this process does not know is
// held back until a majority of the quorum has answered that it has not departed.
func (n *node) heartbeat(heartbeat localserver.Heartbeat) {
	accepted := false
	if n.admission.Known(heartbeat.ID) {
		accepted = n.acceptHeartbeat(heartbeat)
	} else {
		accepted = n.unverified.HoldHeartbeat(heartbeat)
		n.verify()
	}
	if accepted && heartbeat.Draining && !n.server.drainAcked {
		n.recordDeparture(heartbeat.ID, wire.Departure_DRAINING)
	}
}

// acceptHeartbeat passes a heartbeat of a known or verified server to the registry.
func (n *node) acceptHeartbeat(heartbeat localserver.Heartbeat) (accepted bool) {
	reply := n.admission.Heartbeat(n.sim.now, heartbeat)
	n.deliverGrants(reply.Grants)
	if (reply.New || reply.DrainStarted) && !n.registering {
		n.register()
	}
	return reply.OK
}

// deregister terminates a server at its own request.
func (n *node) deregister(id string) {
	if !n.up {
		return
	}
	n.unverified.Drop(id)
	_, grants := n.admission.Deregister(n.sim.now, id)
	n.deliverGrants(grants)
	n.recordDeparture(id, wire.Departure_DEREGISTERED)
}

// recordDeparture records the departure of a server, and acknowledges it to the server.
func (n *node) recordDeparture(id string, phase wire.Departure_Phase) {
	request := &wire.DepartureRequest{Record: []*wire.Departure{{Member: id, Phase: phase}}}
	n.callVoters(request, func(_ *wire.DepartureResponse, ok bool) {
		if v := n.server; ok && v.id == id && !v.drainAcked {
			v.drainAcked, v.drainAckedAt = true, n.sim.now
		}
	})
}

// adopt holds the registered servers of this machine back until they are verified, if the process has just started.
func (n *node) adopt() {
	if n.sim.now-n.startedAt >= ms(2*n.sim.scenario.HeartbeatMs) {
		return
	}
	for _, registered := range n.registered.Servers() {
		if !registered.Draining && !n.admission.Known(registered.Member) {
			n.unverified.HoldRegistered(localserver.Heartbeat{ID: registered.Member, Service: registered.Service, Address: n.name, Zone: registered.Zone, Slots: int(registered.Slots)})
		}
	}
	n.verify()
}

// verify looks up the departures of the servers that are held back, and retries until the lookup succeeds.
func (n *node) verify() {
	ids := n.unverified.IDs()
	if n.verifying || len(ids) == 0 {
		return
	}
	n.verifying = true
	incarnation := n.incarnation
	n.callVoters(&wire.DepartureRequest{Lookup: ids}, func(response *wire.DepartureResponse, ok bool) {
		if !ok {
			n.sim.after(departureRetryPause, func() {
				if n.up && n.incarnation == incarnation {
					n.verifying = false
					n.verify()
				}
			})
			return
		}
		n.verifying = false
		n.release(ids, response.Found)
		n.verify()
	})
}

// release passes verified servers to the registry.
func (n *node) release(ids []string, found []*wire.Departure) {
	departures := departure.NewSet(found)
	for _, id := range ids {
		switch server, verdict := n.unverified.Release(id, departures.Phase(id)); verdict {
		case localserver.Departed:
			_, grants := n.admission.Deregister(n.sim.now, id)
			n.deliverGrants(grants)
		case localserver.Adoptable:
			n.admission.Adopt(n.sim.now, server)
		case localserver.HeartbeatOK:
			n.acceptHeartbeat(server)
		case localserver.Dropped:
		}
	}
}
