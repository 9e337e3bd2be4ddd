// Package budget meters one node's part of the retry budget that all nodes
// share: in any window, a service may get no more repeats than a ratio of the
// requests for it and a slack that is one for all nodes together. No node asks
// another: each spends by ratio only on its own requests, and has its share of
// the slack, so that the sum holds whatever the traffic.
package budget

import "time"

// buckets cut a window; sums run over one more, so that every sliding window
// lies within what is summed.
const buckets = 20

// Caution is the part of the bound that is spent at most: calls that the run of
// a repeat makes are repeats too, and are charged where they begin, when it is
// too late to do without them.
const Caution = 0.4

// Budget is a node's part for one service.
type Budget struct {
	ratio, slack  float64
	width         time.Duration // of a bucket
	at            int64         // number of the newest bucket
	spent, earned [buckets + 1]float64
}

// New returns a budget of nothing but a ratio; Share sets the slack.
func New(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio * Caution, width: max(time.Millisecond, window/buckets)}
}

// SetSlack sets this node's part of the slack.
//
// A process that has just started does not know what its last life spent, and
// neither does one that joined know what others spent of a larger share: both
// have none until a window has passed.
func (b *Budget) SetSlack(slack float64) { b.slack = slack * Caution }

// roll moves on to the bucket of a time.
func (b *Budget) roll(now time.Duration) int {
	n := int64(now / b.width)
	for b.at < n {
		if n-b.at > buckets {
			b.at = n - buckets - 1
			b.spent, b.earned = [buckets + 1]float64{}, [buckets + 1]float64{}
		}
		b.at++
		b.spent[b.at%(buckets+1)], b.earned[b.at%(buckets+1)] = 0, 0
	}
	return int(b.at % (buckets + 1))
}

// Request notes a request for the service.
func (b *Budget) Request(now time.Duration) { b.earned[b.roll(now)]++ }

// Available returns how many repeats may be sent at this moment.
func (b *Budget) Available(now time.Duration) float64 {
	b.roll(now)
	spent, earned := 0.0, 0.0
	for i := range b.spent {
		spent += b.spent[i]
		earned += b.earned[i]
	}
	// The oldest bucket may lie before the window: what was earned in it is not counted.
	earned -= b.earned[(b.at+1)%(buckets+1)]
	return b.slack + b.ratio*earned - spent
}

// Spend takes a repeat out of the budget, if it has one left.
func (b *Budget) Spend(now time.Duration) bool {
	if b.Available(now) < 1 {
		return false
	}
	b.spent[b.roll(now)]++
	return true
}

// Charge counts retries that have happened already, such as the calls of a retry.
func (b *Budget) Charge(now time.Duration, n float64) { b.spent[b.roll(now)] += n }

// youngFor is how long a new process waits for the membership list.
const youngFor = 3 * time.Second

// Shares splits the slack by the nodes that may have spent of it.
type Shares struct {
	Slack  float64 // of all nodes together
	Window time.Duration
	Known  bool // the process is the first of its node: there was no life before it

	nodes int // most known of late
	at    time.Duration
}

// Share returns a node's part of the slack. age is the process's, nodes the number
// of those known now, this one among them. All that were lately there count, as
// they may have spent theirs.
func (s *Shares) Share(age time.Duration, nodes int) float64 {
	if nodes >= s.nodes || age-s.at > 2*s.Window {
		s.nodes, s.at = nodes, age
	}
	if age < youngFor || !s.Known && age < s.Window {
		return 0 // what the last life spent, or others of a larger share, is not known
	}
	return s.Slack / float64(max(1, s.nodes))
}
