// Package departure keeps the announcements of servers that they leave: their draining status and their deregistrations. A
// node acknowledges one only after a majority of the voters has it on disk, with a leader or without. A node that does not
// know a server asks a majority before it lets requests reach it. Any two majorities have a voter in common, so no later
// process serves a server whose departure was acknowledged, whatever the registry or a late heartbeat says.
//
// A departure needs no order: it is final, and recording it twice has the effect of recording it once. So the voters record it
// without a leader. The log receives it as soon as there is one, and carries it to members that join or start with an empty
// disk. (CURP, Park and Ousterhout, NSDI 2019, records commutative updates on witnesses in the same way.)
//
//	set.go       Set: departures by server
//	recorder.go  Recorder: the departures at one member, on disk and on their way into the log
//	round.go     Round: the responses of voters to a request, and when they are a majority
//
// All are pure and not safe for concurrent use. Package server drives them.
package departure
