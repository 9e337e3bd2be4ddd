package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// runPushPull runs one push/pull to its end, as a driver does, and returns the size and number of its messages.
func runPushPull(now time.Duration, initiator, responder *Memberlist) (bytes, messages int) {
	probes := []Probe{initiator.pushPullProbe(responder.self.Address, rangesFor(len(initiator.members)))}
	for len(probes) > 0 {
		request := probes[0].Request
		responder.Merge(now, request.From)
		response := responder.HandleProbe(request)
		initiator.Merge(now, response.Updates...)
		bytes += proto.Size(request) + proto.Size(response)
		messages += 2
		probes = append(probes[1:], initiator.HandleProbeResult(now, probes[0], response)...)
	}
	return bytes, messages
}

func newMemberlist(name string, members []*wire.Member) *Memberlist {
	list := New(&wire.Member{Name: name, Address: name, Generation: 1}, 1, 0)
	list.Load(0, members)
	return list
}

// TestSearchOfPushPulls generates pairs of views with different members and generations. It guards against differences that
// remain after a push/pull in each direction, and against digests that do not match the members.
func TestSearchOfPushPulls(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0xd16e))
		memberCount := []int{3, 60, 70, 300, 2000}[rng.IntN(5)]
		differenceRate := []float64{0, 0.01, 0.2, 0.9}[rng.IntN(4)]
		lists := []*Memberlist{newMemberlist("x", nil), newMemberlist("y", nil)}
		newest := map[string]uint64{}
		for i := range memberCount {
			name := fmt.Sprint("n", i)
			for _, list := range lists {
				m := &wire.Member{Name: name, Address: name, Generation: 1}
				if rng.Float64() < differenceRate {
					m.Generation += uint64(rng.IntN(3))
				}
				if rng.Float64() < differenceRate/2 {
					continue // missing from this list
				}
				list.Merge(0, m)
				newest[name] = max(newest[name], m.Generation)
			}
		}
		checkDigests(t, seed, lists...)
		runPushPull(0, lists[0], lists[1])
		runPushPull(0, lists[1], lists[0])
		checkDigests(t, seed, lists...)
		for name, generation := range newest {
			for _, list := range lists {
				if m := list.members[name]; m == nil || m.Generation != generation {
					t.Fatalf("seed %d, %d members: %s has the entry %v for %s, want generation %d", seed, memberCount, list.self.Name, m, name, generation)
				}
			}
		}
		if lists[0].Digest() != lists[1].Digest() {
			t.Fatalf("seed %d: equal views have different digests, %x and %x", seed, lists[0].Digest(), lists[1].Digest())
		}
	}
}

// checkDigests compares the incrementally updated digests with digests computed from the members.
func checkDigests(t *testing.T, seed uint64, lists ...*Memberlist) {
	t.Helper()
	for _, list := range lists {
		want := New(list.self, 1, 0)
		for _, m := range list.members {
			want.toggleDigest(m.Member)
		}
		if list.digest != want.digest || list.ranges != want.ranges {
			t.Fatalf("seed %d: the digests of %s do not match its members", seed, list.self.Name)
		}
		for _, n := range []uint32{1, 8, maxRanges} {
			combined := uint64(0)
			for _, d := range list.digestsOf(n) {
				combined ^= d
			}
			if combined != list.Digest() {
				t.Fatalf("seed %d: the digests of %d ranges do not add up to the digest of all members", seed, n)
			}
		}
	}
}

// TestPushPullCost guards against push/pulls whose cost depends on the size of the cluster: one between views
// of 28,000 members that differ in one takes a few kilobytes, and one between equal views a single round trip.
func TestPushPullCost(t *testing.T) {
	var members []*wire.Member
	for i := range 28_000 {
		name := fmt.Sprint("node-of-some-zone-", i)
		members = append(members, &wire.Member{Name: name, Address: "10.200.100.100:7380", Zone: "some-zone", Generation: 1 << 50})
	}
	x, y := newMemberlist("x", members), newMemberlist("y", append(members, &wire.Member{Name: "another", Address: "another", Generation: 1}))
	fullViewBytes := proto.Size(y.HandleProbe(&wire.ProbeRequest{FullView: true}))
	bytes, messages := runPushPull(0, x, y)
	if x.members["another"] == nil || messages != 4 || bytes > 12<<10 || fullViewBytes < 50*bytes {
		t.Errorf("member received: %v, after %d messages and %d bytes; a full view has %d bytes", x.members["another"] != nil, messages, bytes, fullViewBytes)
	}
	y.Merge(0, x.Self())
	if bytes, messages = runPushPull(0, x, y); messages != 2 || bytes > 1<<10 {
		t.Errorf("equal views: %d messages, %d bytes", messages, bytes)
	}
}

// TestPushPullIsBounded guards against invalid messages: an invalid number of ranges in a request yields the full view,
// ranges out of bounds are ignored, and so is a response with the wrong number of digests.
func TestPushPullIsBounded(t *testing.T) {
	list := newMemberlist("x", []*wire.Member{{Name: "n", Address: "n", Generation: 1}})
	for _, ranges := range []uint32{3, maxRanges * 2, 1 << 31} {
		if response := list.HandleProbe(&wire.ProbeRequest{FullView: true, Ranges: ranges, Differing: []uint32{1 << 30}}); len(response.Updates) != 2 || len(response.RangeDigests) > 0 {
			t.Errorf("request for %d ranges: got %v, want the full view", ranges, response)
		}
	}
	if response := list.HandleProbe(&wire.ProbeRequest{FullView: true, Ranges: 4, Differing: []uint32{4, 1 << 31}}); len(response.Updates) != 1 {
		t.Errorf("request for ranges out of bounds: got %v, want only the node's own entry", response)
	}
	if probes := list.HandleProbeResult(0, list.pushPullProbe("y", 4), &wire.ProbeResponse{RangeDigests: make([]uint64, 5)}); probes != nil {
		t.Errorf("response with 5 digests for 4 ranges: got follow-up probes %v", probes)
	}
}
