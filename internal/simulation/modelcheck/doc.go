// Package modelcheck is a model checker for package raft. It runs the code of package raft on a model of the driver (disk,
// messages, state machine), and checks the properties in properties.go after each event.
//
// Search explores all histories within the given Bounds, breadth first: a message may arrive at any time or never, and a
// member may crash or lose its disk. It stores a hash of each visited state, and treats states that differ only in the
// members' names as equal. It reports the first violated property with a shortest trace. A search may start after a
// scenario, a script of events that leads to a state too deep to reach from the initial state.
//
// Walks explores random histories, which are much longer than those of a search. Each seed draws the probability of each
// kind of event (swarm testing), so that rare combinations occur.
//
// A link keeps only the newest messages, up to Bounds.Link. It delivers them in order, unless Bounds.Unordered is set.
// Bounds.Duplicates allows it to deliver a message again.
//
// The command meshlab check runs the model checker; mutation testing runs it through that command. The model uses no
// clock, disk or network.
package modelcheck
