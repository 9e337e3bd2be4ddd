package trace

import (
	"fmt"
	"testing"
	"time"
)

func TestRing(t *testing.T) {
	ring := NewRing(4)
	for i, id := range []string{"old", "a.1", "ab", "a", "a.1.2", "b"} { // the first two are overwritten
		ring.Add(Record{Attempt: id, Start: time.Duration(10 - i)})
	}
	got := ring.ByAttempt("a")
	if len(got) != 2 || got[0].Attempt != "a.1.2" || got[1].Attempt != "a" {
		t.Errorf("records of a: %+v", got)
	}
	if got := ring.ByAttempt("old"); len(got) != 0 {
		t.Errorf("overwritten record returned: %+v", got)
	}
}

func TestZeroCapacity(t *testing.T) {
	ring := NewRing(0)
	ring.Add(Record{Attempt: "a"})
	if got := ring.ByAttempt("a"); len(got) != 0 {
		t.Errorf("a ring of capacity 0 returned %+v", got)
	}
}

func TestSampled(t *testing.T) {
	sampled := 0
	for i := range 10000 {
		id := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		if Sampled(id, 0.1) {
			sampled++
		}
		if Sampled(id, 0.1) != Sampled(id+".7", 0.1) || Sampled(id, 0) || !Sampled(id, 1) {
			t.Fatalf("%s: not sampled like its call, sampled at share 0, or not sampled at share 1", id)
		}
	}
	if sampled < 900 || sampled > 1100 {
		t.Errorf("%d of 10,000 requests were sampled, want 900 to 1,100", sampled)
	}
}
