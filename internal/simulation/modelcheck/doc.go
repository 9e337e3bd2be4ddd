// Package modelcheck is a model checker of the consensus. It runs package raft's own code, with the driver's part (disk,
// messages, state machine) modelled, and checks the properties of properties.go after each event.
//
// Search goes through all histories within some Bounds, breadth first: each message may arrive at any time or never, each
// member may crash or lose its disk. It keeps a hash of each state that it has met, so that it ends, and treats states that
// differ by the members' names alone as one; the first broken property comes with a shortest trace. A search may start
// behind a scenario, a script of events that leads to a state which is too deep to reach from the start.
//
// Walk goes through one random history, much longer than a search can. Each seed draws how likely each kind of event is
// (swarm testing), so that rare combinations come up.
//
// Links keep the newest few messages; those in front are lost, as may be any. By default a link keeps its order;
// Bounds.Unordered lets messages overtake each other, and Bounds.Duplicates lets them arrive again.
//
// The package is called by meshlab check, and by the mutation testing through it. It touches no clock, disk or network.
package modelcheck
