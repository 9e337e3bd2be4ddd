package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// compare has one group compare its view with another's, as a driver does, and returns the bytes of all messages.
func compare(now time.Duration, asks, answers *Memberlist) (bytes, messages int) {
	todo := []Probe{asks.pushPullProbe(answers.self.Address, rangesFor(len(asks.members)))}
	for len(todo) > 0 {
		p := todo[0].Request
		answers.Merge(now, p.From)
		answer := answers.HandleProbe(p)
		asks.Merge(now, answer.Updates...)
		bytes += proto.Size(p) + proto.Size(answer)
		messages += 2
		todo = append(todo[1:], asks.HandleProbeResult(now, todo[0], answer)...)
	}
	return bytes, messages
}

func groupOf(name string, members []*wire.Member) *Memberlist {
	g := New(&wire.Member{Name: name, Address: name, Generation: 1}, 1, 0)
	g.Load(0, members)
	return g
}

// TestSearchOfPushPulls draws two views that differ in members, generations and deaths: behind one comparison each knows
// all that the other knows better, and the digests tell the truth about it.
func TestSearchOfPushPulls(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0xd16e))
		all := []int{3, 60, 70, 300, 2000}[rng.IntN(5)]
		share := []float64{0, 0.01, 0.2, 0.9}[rng.IntN(4)]
		groups := []*Memberlist{groupOf("x", nil), groupOf("y", nil)}
		newest := map[string]uint64{}
		for i := range all {
			name := fmt.Sprint("n", i)
			for _, g := range groups {
				m := &wire.Member{Name: name, Address: name, Generation: 1}
				if rng.Float64() < share {
					m.Generation += uint64(rng.IntN(3))
				}
				if rng.Float64() < share/2 {
					continue // it is not known there
				}
				g.Merge(0, m)
				newest[name] = max(newest[name], m.Generation)
			}
		}
		checkDigests(t, seed, groups...)
		compare(0, groups[0], groups[1])
		compare(0, groups[1], groups[0])
		checkDigests(t, seed, groups...)
		for name, generation := range newest {
			for _, g := range groups {
				if m := g.members[name]; m == nil || m.Generation != generation {
					t.Fatalf("seed %d, %d members: %s knows %v of %s, whose generation is %d", seed, all, g.self.Name, m, name, generation)
				}
			}
		}
		if groups[0].Digest() != groups[1].Digest() {
			t.Fatalf("seed %d: equal views have the digests %x and %x", seed, groups[0].Digest(), groups[1].Digest())
		}
	}
}

// checkDigests holds the digests that were kept up against those of the members.
func checkDigests(t *testing.T, seed uint64, groups ...*Memberlist) {
	t.Helper()
	for _, g := range groups {
		want := New(g.self, 1, 0)
		for _, m := range g.members {
			want.toggleDigest(m.Member)
		}
		if g.digest != want.digest || g.ranges != want.ranges {
			t.Fatalf("seed %d: the digests of %s are not those of its members", seed, g.self.Name)
		}
		for _, n := range []uint32{1, 8, maxRanges} {
			whole := uint64(0)
			for _, d := range g.digestsOf(n) {
				whole ^= d
			}
			if whole != g.Digest() {
				t.Fatalf("seed %d: the digests of %d ranges are not that of all members", seed, n)
			}
		}
	}
}

// TestPushPullCostsOnlyDifferences: a comparison of two views of the largest mesh that differ in one member takes some
// kilobytes, and none is made of views that are alike.
func TestPushPullCostsOnlyDifferences(t *testing.T) {
	var members []*wire.Member
	for i := range 28_000 {
		name := fmt.Sprint("node-of-some-zone-", i)
		members = append(members, &wire.Member{Name: name, Address: "10.200.100.100:7380", Zone: "some-zone", Generation: 1 << 50})
	}
	x, y := groupOf("x", members), groupOf("y", append(members, &wire.Member{Name: "another", Address: "another", Generation: 1}))
	whole := proto.Size(y.HandleProbe(&wire.ProbeRequest{FullView: true}))
	bytes, messages := compare(0, x, y)
	if x.members["another"] == nil || messages != 4 || bytes > 12<<10 || whole < 50*bytes {
		t.Errorf("known: %v, after %d messages of %d bytes; a whole view has %d", x.members["another"] != nil, messages, bytes, whole)
	}
	y.Merge(0, x.Self())
	if bytes, messages = compare(0, x, y); messages != 2 || bytes > 1<<10 {
		t.Errorf("alike: %d messages of %d bytes", messages, bytes)
	}
}

// TestPushPullIsBounded: questions that make no sense are answered by a whole view, and not with more ranges than there
// are.
func TestPushPullIsBounded(t *testing.T) {
	g := groupOf("x", []*wire.Member{{Name: "n", Address: "n", Generation: 1}})
	for _, ranges := range []uint32{3, maxRanges * 2, 1 << 31} {
		if a := g.HandleProbe(&wire.ProbeRequest{FullView: true, Ranges: ranges, Differing: []uint32{1 << 30}}); len(a.Updates) != 2 || len(a.RangeDigests) > 0 {
			t.Errorf("%d ranges: %v", ranges, a)
		}
	}
	if a := g.HandleProbe(&wire.ProbeRequest{FullView: true, Ranges: 4, Differing: []uint32{4, 1 << 31}}); len(a.Updates) != 1 {
		t.Errorf("ranges that are not there: %v", a)
	}
	if more := g.HandleProbeResult(0, g.pushPullProbe("y", 4), &wire.ProbeResponse{RangeDigests: make([]uint64, 5)}); more != nil {
		t.Errorf("an answer of another number of ranges: %v", more)
	}
}
