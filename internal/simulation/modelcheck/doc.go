// Package modelcheck is a model checker of Raft. It runs package raft's own code, with the driver (disk,
// messages, state machine) modelled, and checks the properties of properties.go after each event.
//
// Search explores all histories within some Bounds, breadth first: each message may arrive at any time or never, each
// member may crash or lose its disk. It keeps a hash of each state that it has visited, so that it ends, and treats states that
// differ by the members' names alone as one; the first violated property is reported with a shortest trace. A search may start
// after a scenario, a script of events that leads to a state too deep to reach from the initial one.
//
// Walk explores one random history, much longer than a search can. Each seed draws how likely each kind of event is
// (swarm testing), so that rare combinations occur.
//
// Links keep the newest few messages; older ones are lost, as any message may be. By default a link keeps its order;
// Bounds.Unordered lets messages overtake each other, and Bounds.Duplicates lets them arrive again.
//
// The package is called by meshlab check, and by the mutation testing through it. It touches no clock, disk or network.
package modelcheck
