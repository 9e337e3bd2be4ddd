package catalog

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// TestAcceptedResendIsNeverRefused: a change that was accepted is known after any number of later ones, or its sender is told
// that this is not known. A snapshot in between changes nothing, nor does one of a version with a smaller memory.
func TestAcceptedResendIsNeverRefused(t *testing.T) {
	const step, changes = 3, maxAccepted + maxAccepted/4
	c := New()
	bodies := make([][]byte, changes)
	resend := func(c *Catalog, i int) error {
		update, err := c.Apply(put(uint64(i*step), bodies[i]))
		if update != nil {
			t.Fatalf("change %d was accepted a second time", i)
		}
		return err
	}
	for i := range bodies {
		bodies[i] = config(t, uint64((i+1)*step), nil)
		if update, err := c.Apply(put(uint64(i*step), bodies[i])); update == nil || err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
		if i == 2000 { // days hold more than the thousand that were remembered once
			if err := resend(c, 0); err != nil {
				t.Errorf("the first after 2,000 others: %v", err)
			}
		}
	}
	restored := New()
	if data, err := c.Snapshot(); err != nil || restored.Restore(data) != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]*Catalog{"as it was": c, "restored": restored} {
		known := 0
		for i := range bodies {
			switch err := resend(c, i); {
			case err == nil:
				known++
			case !errors.Is(err, ErrForgotten):
				t.Fatalf("%s: change %d, sent again: %v", name, i, err)
			}
		}
		if known < maxAccepted*3/4 || known > maxAccepted {
			t.Errorf("%s: %d changes are remembered", name, known)
		}
		// What can't have been accepted is refused for good, however old it is.
		current := uint64(changes * step)
		for _, other := range []struct {
			name           string
			base, revision uint64
			want           error
		}{
			{"another one under a remembered number", current - 2*step, current - step, ErrStale},
			{"another one on a remembered base", current - step, current + 1, ErrStale},
			{"an old number on the current base", current, 2, ErrInvalid},
			{"the current number on the current base", current, current, ErrInvalid},
		} {
			body := config(t, other.revision, func(c map[string]any) { c["request_limits"] = map[string]any{"max_header_bytes": 1} })
			if _, err := c.Apply(put(other.base, body)); !errors.Is(err, other.want) {
				t.Errorf("%s: %s: %v, want %v", name, other.name, err, other.want)
			}
		}
	}
}

// TestRestoreOldVersions: one that is full has forgotten, and does not say so.
func TestRestoreOldVersions(t *testing.T) {
	for _, kept := range []int{earlierMaxAccepted, earlierMaxAccepted - 1} {
		s := &wire.Snapshot{State: &wire.State{Config: config(t, 9000, nil)}}
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
			want = ErrForgotten
		}
		if _, err := c.Apply(put(4, config(t, 4999, nil))); !errors.Is(err, want) {
			t.Errorf("%d changes kept: %v, want %v", kept, err, want)
		}
	}
}
