package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"ivydeck/internal/transport/wire"
)

// TestSearchOfResends resends accepted changes of random age, with snapshots in between. A resend changes nothing and is
// never rejected as stale or invalid; another change with its revision is never accepted.
func TestSearchOfResends(t *testing.T) {
	const changes, step = maxAccepted + maxAccepted/2, 2
	for seed := range uint64(2) {
		rng := rand.New(rand.NewPCG(seed, 0xca7))
		c := New()
		bodies := make([][]byte, 0, changes)
		evicted := 0
		for i := range changes {
			bodies = append(bodies, encodeConfig(t, uint64((i+1)*step), nil))
			if _, err := c.Apply(put(uint64(i*step), bodies[i])); err != nil {
				t.Fatalf("seed %d: change %d: %v", seed, i, err)
			}
			if rng.IntN(2000) == 0 {
				data, err := c.Snapshot()
				c = New()
				if err = restoreSnapshot(c, data, err); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(4) > 0 {
				continue
			}
			resent := rng.IntN(i + 1)
			changed, err := c.Apply(put(uint64(resent*step), bodies[resent]))
			switch {
			case changed != nil:
				t.Fatalf("seed %d: after %d changes, change %d was accepted twice", seed, i+1, resent)
			case errors.Is(err, ErrOutcomeUnknown) && i-resent > maxAccepted/2:
				evicted++
			case err != nil:
				t.Fatalf("seed %d: after %d changes, change %d resent: %v", seed, i+1, resent, err)
			}
			conflicting := encodeConfig(t, uint64((resent+1)*step), func(c map[string]any) { c["request_limits"] = map[string]any{"max_header_bytes": 7} })
			if _, err := c.Apply(put(uint64(resent*step), conflicting)); err == nil {
				t.Fatalf("seed %d: another change with the revision of change %d was accepted", seed, resent)
			}
		}
		if evicted == 0 {
			t.Errorf("seed %d: no resent change was evicted: too few cases", seed)
		}
	}
}

// TestSearchBelowFloor removes more servers than maxTombstones, while children lag at random. The source is restored from
// its current snapshot, or from an older one with a new history. A child that applies the source's changes equals it.
func TestSearchBelowFloor(t *testing.T) {
	const batch = maxTombstones / 3
	fullStates := 0
	for seed := range uint64(4) {
		clear(lineCache)
		rng := rand.New(rand.NewPCG(seed, 0xf1))
		source := New()
		children := []*View{NewView(), NewView(), NewView()}
		var backup []byte
		restores := 0
		for round := range 40 {
			var names []string
			for i := range batch {
				name := fmt.Sprint("server-", round%5, "-", i)
				names = append(names, name)
				if _, err := source.Apply(&wire.Command{Change: &wire.Command_Server{Server: &wire.Server{Member: name, Node: "n"}}}); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := source.Apply(&wire.Command{Change: &wire.Command_Remove{Remove: &wire.RemoveServers{Members: names[rng.IntN(batch):]}}}); err != nil {
				t.Fatal(err)
			}
			if rng.IntN(6) == 0 {
				data, err := source.Snapshot()
				source = New()
				if err = restoreSnapshot(source, data, err); err != nil {
					t.Fatal(err)
				}
			}
			switch rng.IntN(12) {
			case 0:
				data, err := source.Snapshot()
				if backup = data; err != nil {
					t.Fatal(err)
				}
			case 1:
				if backup != nil {
					source = New()
					if err := source.Restore(backup); err != nil {
						t.Fatal(err)
					}
					restores++
					source.Advance(uint64(restores) << 32)
				}
			}
			for i, child := range children {
				if rng.IntN(12) > 0 {
					continue
				}
				sent := source.view.Changes(child.Index())
				if sent.GetFull() && child.Index() > 0 {
					fullStates++
				}
				if sent != nil && !child.Apply(sent) || content(child) != content(source.view) {
					t.Fatalf("seed %d: round %d: child %d differs from its source after changes from %d", seed, round, i, sent.GetFrom())
				}
			}
		}
	}
	if fullStates < 5 {
		t.Errorf("children were below the floor %d times, want at least 5: too few cases", fullStates)
	}
}

// TestSearchOfDeltas makes commands on one state and applies them to another that has a different body with the same
// revision, as after a restore. The body after an accepted command is the one that was sent.
func TestSearchOfDeltas(t *testing.T) {
	accepted, rejected := 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0xde17a))
		randomBody := func(revision uint64) []byte {
			return encodeConfig(t, revision, func(c map[string]any) {
				var services []map[string]any
				for i := range 1 + rng.IntN(8) {
					services = append(services, map[string]any{"name": fmt.Sprint("s", i), "health_path": fmt.Sprint("/health", rng.IntN(3)), "protocol": "h1"})
				}
				c["backend_table"], c["route_table"] = services, []map[string]any{}
			})
		}
		forks := []*Catalog{New(), New()}
		for revision := uint64(1); revision < 60; revision++ {
			for _, c := range forks {
				body := randomBody(revision)
				origin := forks[rng.IntN(2)].Current()
				parsed, err := origin.Parse(body)
				if err != nil {
					t.Fatal(err)
				}
				_, err = c.Apply(origin.Command(c.Revision(), parsed, body))
				switch {
				case err != nil:
					rejected++
				case !bytes.Equal(c.Body(), body):
					t.Fatalf("seed %d: revision %d was accepted with another body", seed, revision)
				default:
					accepted++
				}
			}
		}
	}
	if accepted < 500 || rejected < 100 {
		t.Errorf("%d accepted, %d rejected, want at least 500 and 100: too few cases", accepted, rejected)
	}
	t.Logf("%d accepted, %d rejected", accepted, rejected)
}
