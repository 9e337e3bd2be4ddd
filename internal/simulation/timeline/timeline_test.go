package timeline

import (
	"strings"
	"testing"
	"time"
)

// TestLastWave checks that Last uses the last of two waves and each machine's first event of a step, and that Read
// accepts prefixes of log collectors and skips other lines.
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
		t.Fatalf("Read returned %d events, want 9; error %v", len(events), err)
	}
	wave, ok := Last(events)
	if !ok || wave.StartedAt.Second() != 40 || len(wave.Steps) != 4 {
		t.Fatalf("Last returned %+v, %v; want a wave from second 40 with 4 steps", wave, ok)
	}
	const ms = time.Millisecond
	want := Step{Name: "sidecar.ready", Machines: 2, First: 300 * ms, Median: 450 * ms, Last: 450 * ms, Slowest: "n2"}
	if got := wave.Steps[3]; got != want {
		t.Errorf("last step %+v, want %+v", got, want)
	}
	if unprefixed, _ := Read(strings.NewReader("time=2026-02-18T01:08:00Z level=INFO msg=control.started"), "c9"); len(unprefixed) != 1 || unprefixed[0].Machine != "c9" {
		t.Errorf("a log without prefixes: events %+v, want one of machine c9", unprefixed)
	}
	if _, ok := Last(nil); ok {
		t.Error("Last found a wave without events")
	}
}
