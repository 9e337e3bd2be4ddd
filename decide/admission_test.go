package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestCurveFallsLinearly(t *testing.T) {
	for _, c := range []struct{ r, a, b, want float64 }{
		{0, 0.55, 1.05, 1},
		{0.55, 0.55, 1.05, 1},
		{0.80, 0.55, 1.05, 0.5},
		{0.95, 0.55, 1.05, 0.2}, // the formula printed by Xu and Bochmann would give 0.8
		{1.05, 0.55, 1.05, 0},
		{9, 0.55, 1.05, 0},
	} {
		if got := linearProbability(c.r, c.a, c.b); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("linearProbability(%v, %v, %v) = %v, want %v", c.r, c.a, c.b, got, c.want)
		}
	}
}

// An overload must be refused before any answer has raised r, and the remaining capacity must go to requests of
// the higher value.
func TestOverloadIsRefusedBeforeAnswers(t *testing.T) {
	b := newFrontProxy(4)
	low := offer(b, time.Second, 0, 500)
	if low < 4*serverCapacity || low > 8*serverCapacity {
		t.Errorf("%d calls of low value admitted for 4 servers with a capacity of %d calls", low, 4*serverCapacity)
	}
	if high := offer(b, time.Second, 1, 500); high == 0 || low+high > 12*serverCapacity {
		t.Errorf("%d calls of high value admitted after %d of low value", high, low)
	}
}

// A node with a small share of the capacity must tolerate random variations of its concurrency, as other nodes
// have fewer calls at that time.
func TestRandomConcurrencyIsTolerated(t *testing.T) {
	few, many := newFrontProxy(1), newFrontProxy(100)
	for b, n := range map[*Balancer]int{few: serverCapacity, many: 100 * serverCapacity} {
		b.meanConcurrency = float64(n)
	}
	if c := few.concurrencyRatio(); c > 0.9 {
		t.Errorf("concurrency ratio %v for one server at capacity, want at most 0.9", c)
	}
	if c := many.concurrencyRatio(); c < 0.9 {
		t.Errorf("concurrency ratio %v for 100 servers at capacity, want at least 0.9", c)
	}
}

// A short burst of calls at a node with few calls must not cause requests of the highest value to be refused.
func TestConcurrencyIsAveraged(t *testing.T) {
	b := newFrontProxy(1)
	b.meanConcurrency = 1
	for i := range 9 {
		b.calls[1000+uint64(i)] = &call{}
	}
	offer(b, time.Second, 1, 1)
	if p := b.admissionProbability(9); p < 1 {
		t.Errorf("highest value is admitted with probability %v after a short burst of 9 calls, want 1", p)
	}
	offer(b, time.Second, 1, 50)
	if p := b.admissionProbability(9); p > 0 {
		t.Errorf("highest value is admitted with probability %v while at least 9 calls stay in flight, want 0", p)
	}
}

// Added servers must count as capacity only after r has been low for a while, as the tier behind may be the
// bottleneck.
func TestCapacityOfAddedServers(t *testing.T) {
	b := newFrontProxy(4)
	b.meanConcurrency = 10
	before := b.concurrencyRatio()
	var list []Server
	for i := range 12 {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	b.Members(2*time.Second, Members{Change: ListFull, Servers: list}, nil)
	if c := b.concurrencyRatio(); c < before {
		t.Errorf("concurrency ratio falls from %v to %v as soon as servers are added", before, c)
	}
	b.normalizedLatency = 0.2
	for now := 3 * time.Second; now < 20*time.Second; now += latencyPeriod {
		b.concurrencyLimited = true
		b.beginEvent(now, nil)
	}
	if b.countedServers != 12 {
		t.Errorf("%v servers count as capacity after refusals at a low r, want 12", b.countedServers)
	}
}

// If requests of a high value are rare, they must be refused only at a high pressure, so that noise at one node
// does not refuse them. If they are most of the traffic, they must be refused earlier to limit the load.
func TestRareValueIsRefusedLast(t *testing.T) {
	refusedAt := func(classes ...int) float64 {
		b := newFrontProxy(4)
		for i := range 1000 {
			b.calls = map[uint64]*call{}
			offer(b, time.Second, classes[i%len(classes)], 1)
		}
		for p := 0.5; ; p += 0.01 {
			if b.normalizedLatency, b.meanConcurrency = admissionLatencyMin+p*(admissionLatencyMax-admissionLatencyMin), 0; b.admissionProbability(9) < 1 {
				return p
			}
		}
	}
	if rare, frequent := refusedAt(0, 0, 0, 0, 0, 0, 0, 1), refusedAt(1, 1, 1, 0); rare < 0.9 || frequent > 0.6 {
		t.Errorf("value 9 is refused from pressure %.2f if rare, want at least 0.9; from %.2f if frequent, want at most 0.6", rare, frequent)
	}
}

// Marked client retries must be refused before first attempts of the same value, but after first attempts of a
// lower value.
func TestClientRetriesAreRefusedBeforeFirstAttempts(t *testing.T) {
	b := New(Settings{MarksClientRetries: true, Classes: []Class{{Value: 1}, {Value: 9}}}, 1, 0)
	for pressure := 0.0; pressure < 1; pressure += 0.01 {
		b.normalizedLatency = admissionLatencyMin + pressure*(admissionLatencyMax-admissionLatencyMin)
		probabilities := []float64{b.admissionProbability(1 * retryValueFactor), b.admissionProbability(1), b.admissionProbability(9 * retryValueFactor), b.admissionProbability(9)}
		for i := range 3 {
			if probabilities[i] > 0 && probabilities[i+1] < 1 {
				t.Fatalf("at pressure %v, level %d is admitted with probability %v, the next level with %v", pressure, i, probabilities[i], probabilities[i+1])
			}
		}
	}
}
