package timeline

import (
	"strings"
	"testing"
	"time"
)

// TestLastWave: of two starts the last counts, a machine's first word on a step alone, whatever a collector has put in
// front of the lines, and what others have written does not matter.
func TestLastWave(t *testing.T) {
	const log = `note: a line of somebody else's
  -9.9 c1 time=2026-02-18T01:08:00.000Z level=INFO msg=control.started node=c1
  -9.8 n1 time=2026-02-18T01:08:00.100Z level=INFO msg=data.start node=n1
  30.9 c1 time=2026-02-18T01:08:40.000Z level=INFO msg=control.started node=c1
  31.0 n2 time=2026-02-18T01:08:40.150Z level=INFO msg=data.start node=n2
  31.0 n1 time=2026-02-18T01:08:40.100Z level=INFO msg=data.start node=n1
  31.2 c1 time=2026-02-18T01:08:40.200Z level=INFO msg=leadership.acquired term=3
  31.3 n1 time=2026-02-18T01:08:40.300Z level=INFO msg=data.ready number=3
  31.4 n2 time=2026-02-18T01:08:40.450Z level=INFO msg=data.ready number=3
  31.5 n1 time=2026-02-18T01:08:40.900Z level=INFO msg=data.ready number=4
  31.5 n1 time=yesterday level=INFO msg=data.ready
`
	events, err := Read(strings.NewReader(log), "")
	if err != nil || len(events) != 9 {
		t.Fatalf("%d events, %v", len(events), err)
	}
	w, ok := Last(events)
	if !ok || w.Began.Second() != 40 || len(w.Steps) != 4 {
		t.Fatalf("%+v, %v", w, ok)
	}
	const ms = time.Millisecond
	want := Step{Name: "sidecar.ready", Machines: 2, First: 300 * ms, Median: 450 * ms, Last: 450 * ms, Slowest: "n2"}
	if got := w.Steps[3]; got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if own, _ := Read(strings.NewReader("time=2026-02-18T01:08:00Z level=INFO msg=control.started"), "c9"); len(own) != 1 || own[0].Machine != "c9" {
		t.Errorf("a machine's own file: %+v", own)
	}
	if _, ok := Last(nil); ok {
		t.Error("nothing has started, and a wave was found")
	}
}
