// Package decide makes the decisions of load balancers for services that call services: which calls are
// admitted, which server receives them, what is retried. It is pure: no I/O, no clock, no goroutine.
//
// Balancer is the policy of the balancer's node: the node passes every event to it with the present time,
// and carries out the actions that it returns. Gate and Picker are the policies of the mesh, which package
// entry composes.
//
//	api.go               settings, events and actions of Balancer
//	balancer.go          Balancer: events to actions
//	admission.go         stacked admission curves, quotas, retry-after
//	subset.go            the list of servers; deterministic subsets on a ring
//	p2c.go               power of two choices, latencies of servers
//	slow_start.go        token buckets for servers that have just started
//	outlier.go           ejection after consecutive failures
//	retry.go             attempts, retry budget, hedged requests
//	idle_connections.go  detection of dead idle connections
//	admission_gate.go    Gate: admission of call graphs by priority
//	picker.go            Picker: choice of a server in the mesh
package decide

import "time"

// Effect says whether a request may run more than once.
type Effect int

// The three effects.
const (
	Idempotent    Effect = iota // may be repeated
	Keyed                       // repeats are dropped inside a group of servers, for a time
	NonIdempotent               // must not run twice
)

// Group is the set of servers that drop repeats of a keyed request.
type Group int

// The three groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	LatencyTarget        time.Duration // an answer within it earns the full value
	LatencyTargetStretch float64       // the target grows by this multiple of the request's work
	Deadline             time.Duration // of the client, over all of its attempts
	Value                float64
	LateValueShare       float64 // of the value, for an answer after the target
	Effect               Effect
	Group                Group         // Keyed: who drops repeats
	KeyTTL               time.Duration // Keyed: for how long, from the first send that may have run
}

// Weights says what a Server's Weight holds.
type Weights int

// The kinds of weight.
const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // the size, give or take
	WeightsLive                   // the size by 1 + calls in flight a core, some time ago
)

// Tenant is one of those who share the service.
type Tenant struct {
	Quota float64 // requests a second over all nodes; 0: not known
	Share float64 // of the service
}

// Prices are taken off the result, each times its share or rate.
type Prices struct {
	CrossZone float64 // of attempts that cross zones, for each first attempt
	Handshake float64 // of new connections, for each first attempt
	Probe     float64 // of probes, for each first attempt
	Waste     float64 // of work that served no answer, as a share of all work
	LateFail  float64 // of value that ended unserved after its target
}

// Goal weighs the parts of the result.
type Goal struct {
	Total, WorstWindow, WorstClass, WorstTenant float64
	// of tenfold steps of the value that is not served ...
	Nines     float64
	NinesFull float64 // ... and how many of them earn it in full
}

// Settings are the settings of a node at its start; what is absent is zero. Settings that make no sense do
// not panic and break no rule: less than one node counts as one, a negative wait as none, and without a class
// every request fails.
type Settings struct {
	Node, Nodes         int // this node's number among the nodes of its tier
	Tier, Tiers         int // tier 0: front proxy
	Zone                string
	Zones               int
	Classes             []Class
	Tenants             []Tenant
	OverQuotaValue      float64 // factor on the value of a request over its tenant's quota
	ByWork              bool    // value is counted by work, not by request
	Weights             Weights
	ListOnRequest       bool // the list of servers comes on request only
	ListRequestInterval time.Duration
	DrainGrace          time.Duration // sends to a draining server must have ended after this
	SlowStartMinShare   float64       // a started server has at least this share of its capacity
	SlowStartDuration   time.Duration
	FallMultiple        float64 // a starting server fails if it is sent this multiple of its capacity ...
	FallFor             time.Duration
	AnswerGrace         time.Duration // a final answer still counts this long after the deadline
	Tick                time.Duration // events come no closer together
	MarksClientRetries  bool          // clients mark their retries
	PassesDeadline      bool          // a call to the next tier carries the time that its caller has left
	Prices              Prices
	Goal                Goal
	MaxAttempts         int
	MaxPendingRequests  int // 0: not known
	MaxRetryAfter       time.Duration
	ConnIdle            time.Duration // idle connections are closed after this
	ConnectTimeout      time.Duration
	Streams             int // concurrent attempts on one connection
	MayCancel           bool
	MayProbe            bool
	MayHedge            bool
	MayAdviseReturn     bool // refusals may carry a retry-after
}

// Change says how a list of servers relates to the one before.
type Change int

// The kinds of list.
const (
	ListDelta  Change = iota // changed entries only
	ListFull                 // complete: missing servers are removed
	ListStored               // complete, as the node last had it; perhaps old
	ListFailed               // a call for the list failed, or the watch was lost
)

// Health is a server's state in the list.
type Health int

// The states.
const (
	Healthy Health = iota
	Draining
	Removed
)

// Server is one entry of the list of servers.
type Server struct {
	ID      string
	Zone    string
	Cell    int
	Health  Health
	Weight  float64       // relative size; 0 counts as 1
	Started time.Duration // 0: long ago
}

// Members is a change of the list of servers.
type Members struct {
	Change  Change
	Servers []Server
}

// Request is a call, which this node has to answer exactly once.
type Request struct {
	ID          uint64
	Class       int           // index into Settings.Classes
	Tenant      int           // index into Settings.Tenants; -1: none
	TTL         time.Duration // time until the caller gives up
	Work        time.Duration // expected work; 0: unknown
	ClientRetry bool          // it is known to be a client's retry
}

// Result is how an attempt ended.
type Result int

// The results; Full, Unconnected and NotSent prove that nothing ran.
const (
	Served Result = iota
	Errored
	Full        // rejected before the request was processed
	TimedOut    // no answer in time
	Unconnected // no connection
	Broken      // connection lost while waiting
	Cancelled
	NotSent
	Unhealthy // rejected by the node beside an unhealthy server
)

// Outcome ends one attempt.
type Outcome struct {
	Request uint64
	Attempt int
	Server  string
	Result  Result
	Elapsed time.Duration // since the send
	Final   bool          // the request is finished
}

// Probed ends one probe.
type Probed struct {
	Server  string
	Result  Result
	Elapsed time.Duration
}

// Timer says that an After is due.
type Timer struct{ Token uint64 }

// ClientGone says that a request's client has left.
type ClientGone struct{ Request uint64 }

// Kind names an action.
type Kind int

// The actions and the fields of Action that each uses.
const (
	Send      Kind = iota // Request, Server, Wait (time-out of the attempt)
	Refuse                // Request, Wait (retry-after; 0: no advice)
	Fail                  // Request
	Cancel                // Request, Attempt
	Probe                 // Server
	Watch                 // request changes of the list from now on
	Unwatch               // request no more changes
	CloseIdle             // Server: its idle connections
	Fetch                 // request the complete list once
	After                 // Token, Wait
	Log                   // Text
)

// Action is what the node has to do.
type Action struct {
	Kind    Kind
	Request uint64
	Attempt int
	Server  string
	Wait    time.Duration
	Token   uint64
	Text    string
}
