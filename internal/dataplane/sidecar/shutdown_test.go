package sidecar

import (
	"testing"
	"time"
)

// TestLateRequestsAreNotRead: what a client sends more than three seconds after SIGTERM is not read, as it could not be
// waited for, and what is read has time to end before the process does.
func TestLateRequestsAreNotRead(t *testing.T) {
	const excused = 3 * time.Second
	for grace := 4 * time.Second; grace <= time.Minute; grace += time.Second {
		ends := readingEnds(grace)
		if ends > excused {
			t.Errorf("with a grace period of %v requests are read for %v, and %v are excused", grace, ends, excused)
		}
		if ends+stopMargin > grace || ends <= serverWorkEnd {
			t.Errorf("with a grace period of %v requests are read for %v", grace, ends)
		}
	}
}
