// Package decide implements load-balancing policies for services that call other services: which calls are
// admitted, which server receives them, and what is retried. It uses no I/O, no clock and no goroutines.
//
// Balancer is the policy of a balancer node: the node passes it each event with the current time, and
// executes the actions that it returns. Gate and Picker are the policies of the mesh; package router combines
// them.
//
//	api.go               settings, events and actions of Balancer
//	balancer.go          Balancer: event handlers
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

// Effect is the retry semantics of a request.
type Effect int

// The effects.
const (
	Idempotent    Effect = iota // may run any number of times
	Keyed                       // has a key by which the servers of a Group drop repeats, for the time KeyTTL
	NonIdempotent               // must not run twice
)

// Group is the set of servers that drop repeats of a keyed request.
type Group int

// The groups.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // servers of one zone
	GroupCell              // servers of one cell
)

// Class describes one class of requests.
type Class struct {
	LatencyTarget        time.Duration // an answer within this time earns the full value
	LatencyTargetStretch float64       // the target grows by this multiple of the request's work
	Deadline             time.Duration // time limit of the client for all of its attempts
	Value                float64
	LateValueShare       float64 // share of the value that an answer after the target earns
	Effect               Effect
	Group                Group // servers that drop repeats, if Effect is Keyed
	// The servers drop repeats for this time after the first send that may have run.
	KeyTTL time.Duration
}

// Weights is the meaning of Server.Weight.
type Weights int

// The kinds of weight.
const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // registered size
	WeightsRough                  // approximate size
	WeightsLive                   // size divided by 1 + calls in flight per core, possibly out of date
)

// Tenant describes one of the tenants that share the service.
type Tenant struct {
	Quota float64 // requests per second over all nodes; zero if unknown
	Share float64 // share of the service
}

// Prices are deducted from the result, each multiplied by the quantity in its comment.
type Prices struct {
	CrossZone float64 // attempts that cross zones, per first attempt
	Handshake float64 // new connections per first attempt
	Probe     float64 // probes per first attempt
	Waste     float64 // share of all work without a served answer
	LateFail  float64 // value of requests that failed after their latency target
}

// Goal holds the weights of the parts of the result.
type Goal struct {
	Total, WorstWindow, WorstClass, WorstTenant float64
	// weight of the number of nines in the share of the value that is served
	Nines     float64
	NinesFull float64 // number of nines that earns the full weight
}

// Settings are the settings of a node at its start; absent ones are zero. Invalid settings cause neither a
// panic nor a violation of the protocol: fewer than one node counts as one, a negative wait counts as zero,
// and without a class every request fails.
type Settings struct {
	Node, Nodes         int // index of this node in its tier, and number of nodes in the tier
	Tier, Tiers         int // index of this node's tier (0 is the front proxy), and number of tiers
	Zone                string
	Zones               int
	Classes             []Class
	Tenants             []Tenant
	OverQuotaValue      float64 // factor on the value of a request over its tenant's quota
	ByWork              bool    // value is counted per unit of work, not per request
	Weights             Weights
	ListOnRequest       bool // the list of servers is sent only on request
	ListRequestInterval time.Duration
	DrainGrace          time.Duration // time within which sends to a draining server must end
	SlowStartMinShare   float64       // a server that has just started has this share of its capacity
	SlowStartDuration   time.Duration
	OverloadFactor      float64       // multiple of its capacity at which a starting server fails
	OverloadDuration    time.Duration // time after which a starting server fails at such a load
	AnswerGrace         time.Duration // a final answer still counts this long after the deadline
	Tick                time.Duration // shortest interval between events
	MarksClientRetries  bool          // clients mark their retries
	PassesDeadline      bool          // a call to the next tier carries the remaining time of its caller
	Prices              Prices
	Goal                Goal
	MaxAttempts         int
	MaxPendingRequests  int // zero if unknown
	MaxRetryAfter       time.Duration
	ConnIdle            time.Duration // idle connections are closed after this time
	ConnectTimeout      time.Duration
	Streams             int // concurrent attempts on one connection
	MayCancel           bool
	MayProbe            bool
	MayHedge            bool
	MaySetRetryAfter    bool // refusals may carry a retry-after
}

// Change is the kind of an update of the list of servers.
type Change int

// The kinds of update.
const (
	ListDelta  Change = iota // changed entries only
	ListFull                 // complete: servers that are not in it are removed
	ListStored               // complete, as stored by the node; may be out of date
	ListFailed               // no list: the request for it failed, or the watch was lost
)

// Health is a server's state in the list.
type Health int

// The health states.
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
	Started time.Duration // start of the server's process; zero if it started long ago
}

// Members is an update of the list of servers.
type Members struct {
	Change  Change
	Servers []Server
}

// Request is an incoming call, which the node must answer exactly once.
type Request struct {
	ID          uint64
	Class       int           // index into Settings.Classes
	Tenant      int           // index into Settings.Tenants; -1 if there is no tenant
	TTL         time.Duration // time until the caller gives up
	Work        time.Duration // expected work; zero if unknown
	ClientRetry bool          // whether the client marked it as a retry
}

// Result is the result of an attempt or a probe.
type Result int

// The results. After Full, Unconnected and NotSent, the request has certainly not run.
const (
	Served Result = iota
	Errored
	Full        // rejected before the request was processed
	TimedOut    // no answer in time
	Unconnected // no connection
	Broken      // connection lost while waiting for the answer
	Cancelled
	NotSent
	Unhealthy // rejected by the sidecar of an unhealthy server
)

// Outcome reports the end of an attempt.
type Outcome struct {
	Request uint64
	Attempt int
	Server  string
	Result  Result
	Elapsed time.Duration // since the send
	Final   bool          // whether the request is finished
}

// Probed reports the end of a probe.
type Probed struct {
	Server  string
	Result  Result
	Elapsed time.Duration
}

// Timer reports the expiry of a timer set by After.
type Timer struct{ Token uint64 }

// ClientGone reports that a client has disconnected before its request was answered.
type ClientGone struct{ Request uint64 }

// Kind is the kind of an action.
type Kind int

// The kinds of action, with the fields of Action that each uses.
const (
	Send      Kind = iota // Request, Server, Wait (timeout of the attempt)
	Refuse                // Request, Wait (retry-after; zero if the refusal carries none)
	Fail                  // Request
	Cancel                // Request, Attempt
	Probe                 // Server
	Watch                 // subscribes to changes of the list of servers
	Unwatch               // ends the subscription
	CloseIdle             // Server (whose idle connections are closed)
	Fetch                 // requests the complete list of servers once
	After                 // Token, Wait; sets a timer
	Log                   // Text
)

// Action is an instruction to the node.
type Action struct {
	Kind    Kind
	Request uint64
	Attempt int
	Server  string
	Wait    time.Duration
	Token   uint64
	Text    string
}
