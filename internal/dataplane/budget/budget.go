// Package budget implements a node's part of the retry budget. In any window, all
// nodes together may send a service at most ratio * requests + slack retries.
// Nodes do not coordinate: each applies the ratio to its own requests and gets a
// share of the slack, so that the bound holds for any distribution of the traffic.
package budget

import "time"

// buckets is the number of buckets in a window. Retries are summed over one more
// bucket, so that the sum covers every sliding window.
const buckets = 20

// SafetyFactor is the fraction of the bound that Spend may use. The rest is
// reserved for calls made by retried runs: these count as retries too, but are
// charged only when they are made and cannot be refused.
const SafetyFactor = 0.4

// Budget is a node's part of the retry budget for one service. It is not safe for
// concurrent use. Times are durations since an epoch chosen by the caller.
type Budget struct {
	ratio, slack      float64       // multiplied by SafetyFactor
	width             time.Duration // duration of a bucket
	newest            int64         // number of the newest bucket
	retries, requests [buckets + 1]float64
}

// New returns a Budget without slack, which SetSlack sets.
func New(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio * SafetyFactor, width: max(time.Millisecond, window/buckets)}
}

// SetSlack sets this node's share of the slack; see Shares.
func (b *Budget) SetSlack(slack float64) { b.slack = slack * SafetyFactor }

// roll advances to the bucket of a time, clears the buckets on the way, and returns
// the index of the newest bucket.
func (b *Budget) roll(now time.Duration) int {
	current := int64(now / b.width)
	for b.newest < current {
		if current-b.newest > buckets {
			b.newest = current - buckets - 1
			b.retries, b.requests = [buckets + 1]float64{}, [buckets + 1]float64{}
		}
		b.newest++
		b.retries[b.newest%(buckets+1)], b.requests[b.newest%(buckets+1)] = 0, 0
	}
	return int(b.newest % (buckets + 1))
}

// CountRequest records a request to the service, which permits ratio more retries within the window.
func (b *Budget) CountRequest(now time.Duration) { b.requests[b.roll(now)]++ }

// Available returns the number of retries that may be sent now. It may be negative.
func (b *Budget) Available(now time.Duration) float64 {
	b.roll(now)
	retries, requests := 0.0, 0.0
	for i := range b.retries {
		retries += b.retries[i]
		requests += b.requests[i]
	}
	// The oldest bucket may lie outside the window, so its requests are not counted.
	requests -= b.requests[(b.newest+1)%(buckets+1)]
	return b.slack + b.ratio*requests - retries
}

// Spend takes a retry from the budget. It reports false if none is left.
func (b *Budget) Spend(now time.Duration) bool {
	if b.Available(now) < 1 {
		return false
	}
	b.retries[b.roll(now)]++
	return true
}

// Charge counts n retries that cannot be refused, such as the calls of a retried run.
func (b *Budget) Charge(now time.Duration, n float64) { b.retries[b.roll(now)] += n }

// membershipDelay is the time in which a new process receives the membership list.
const membershipDelay = 3 * time.Second

// Shares divides the slack by the number of nodes that may have used it.
type Shares struct {
	Slack  float64       // slack of all nodes together
	Window time.Duration // window of the retry budget
	// FirstStart is true if no earlier process of this node can have sent retries.
	FirstStart bool

	maxNodes   int           // highest recent number of nodes
	maxNodesAt time.Duration // age of the process when maxNodes was last reached
}

// Share returns this node's share of the slack. age is the age of the process, and
// nodes the present number of nodes, including this one. Nodes that have left within
// the last two windows still count, as they may have used their shares.
//
// The share is 0 until membershipDelay has passed. Unless FirstStart is set, it is also 0
// for the first window, because the retries that the previous process sent, or that
// other nodes sent with larger shares, are unknown.
func (s *Shares) Share(age time.Duration, nodes int) float64 {
	if nodes >= s.maxNodes || age-s.maxNodesAt > 2*s.Window {
		s.maxNodes, s.maxNodesAt = nodes, age
	}
	if age < membershipDelay || !s.FirstStart && age < s.Window {
		return 0
	}
	return s.Slack / float64(max(1, s.maxNodes))
}
