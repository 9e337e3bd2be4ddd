package trace

import (
	"fmt"
	"testing"
	"time"
)

func TestRing(t *testing.T) {
	r := NewRing(4)
	for i, id := range []string{"old", "a.1", "ab", "a", "a.1.2", "b"} { // the first two lose their places
		r.Add(Record{Attempt: id, Began: time.Duration(10 - i)})
	}
	got := r.Of("a")
	if len(got) != 2 || got[0].Attempt != "a.1.2" || got[1].Attempt != "a" {
		t.Errorf("%+v", got)
	}
	if got := r.Of("old"); len(got) != 0 {
		t.Errorf("one that has lost its place: %+v", got)
	}
}

func TestARingOfNoPlaces(t *testing.T) {
	r := NewRing(0)
	r.Add(Record{Attempt: "a"})
	if got := r.Of("a"); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}

func TestDrawn(t *testing.T) {
	n := 0
	for i := range 10000 {
		id := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		if Sampled(id, 0.1) {
			n++
		}
		if Sampled(id, 0.1) != Sampled(id+".7", 0.1) || Sampled(id, 0) || !Sampled(id, 1) {
			t.Fatalf("%s: a call is not drawn with its request, or all or none are not", id)
		}
	}
	if n < 900 || n > 1100 {
		t.Errorf("%d of 10,000 were drawn", n)
	}
}
