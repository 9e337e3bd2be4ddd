package catalog

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// TestAcceptedResendIsNeverRefused resends accepted changes of any age, before and after a snapshot is restored. Each is
// recognized or fails with ErrOutcomeUnknown; it is never rejected as stale or invalid.
func TestAcceptedResendIsNeverRefused(t *testing.T) {
	const step, changes = 3, maxAccepted + maxAccepted/4
	c := New()
	bodies := make([][]byte, changes)
	resend := func(c *Catalog, i int) error {
		update, err := c.Apply(put(uint64(i*step), bodies[i]))
		if update != nil {
			t.Fatalf("change %d was accepted twice", i)
		}
		return err
	}
	for i := range bodies {
		bodies[i] = encodeConfig(t, uint64((i+1)*step), nil)
		if update, err := c.Apply(put(uint64(i*step), bodies[i])); update == nil || err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
		if i == 2000 { // more changes than earlierMaxAccepted
			if err := resend(c, 0); err != nil {
				t.Errorf("first change resent after 2,000 others: %v", err)
			}
		}
	}
	restored := New()
	if data, err := c.Snapshot(); err != nil || restored.Restore(data) != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]*Catalog{"original": c, "restored": restored} {
		recognized := 0
		for i := range bodies {
			switch err := resend(c, i); {
			case err == nil:
				recognized++
			case !errors.Is(err, ErrOutcomeUnknown):
				t.Fatalf("%s: change %d resent: %v", name, i, err)
			}
		}
		if recognized < maxAccepted*3/4 || recognized > maxAccepted {
			t.Errorf("%s: %d resent changes were recognized, want between 3/4 of maxAccepted and maxAccepted", name, recognized)
		}
		// Changes that were never accepted are rejected as stale or invalid, whatever their age.
		current := uint64(changes * step)
		for _, other := range []struct {
			name           string
			base, revision uint64
			want           error
		}{
			{"another change with an accepted revision", current - 2*step, current - step, ErrStale},
			{"another change on an accepted base", current - step, current + 1, ErrStale},
			{"old revision on the current base", current, 2, ErrInvalid},
			{"current revision on the current base", current, current, ErrInvalid},
		} {
			body := encodeConfig(t, other.revision, func(c map[string]any) { c["request_limits"] = map[string]any{"max_header_bytes": 1} })
			if _, err := c.Apply(put(other.base, body)); !errors.Is(err, other.want) {
				t.Errorf("%s: %s: %v, want %v", name, other.name, err, other.want)
			}
		}
	}
}

// TestRestoreOldVersions restores snapshots without the highest evicted revision. If their list of accepted changes is full,
// older changes may have been evicted.
func TestRestoreOldVersions(t *testing.T) {
	for _, kept := range []int{earlierMaxAccepted, earlierMaxAccepted - 1} {
		s := &wire.Snapshot{State: &wire.State{Config: encodeConfig(t, 9000, nil)}}
		for i := range kept {
			s.Accepted = append(s.Accepted, &wire.AcceptedConfig{Revision: uint64(5000 + i), Hash: make([]byte, 32)})
		}
		data, err := proto.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		c := New()
		if err := c.Restore(data); err != nil {
			t.Fatal(err)
		}
		want := ErrStale
		if kept == earlierMaxAccepted {
			want = ErrOutcomeUnknown
		}
		if _, err := c.Apply(put(4, encodeConfig(t, 4999, nil))); !errors.Is(err, want) {
			t.Errorf("%d changes kept: %v, want %v", kept, err, want)
		}
	}
}
