package sidecar

import (
	"testing"
	"time"
)

// TestLateRequestsAreNotRead checks that requests sent more than three seconds after SIGTERM are not read, and that requests
// which are read have time to finish before the process exits.
func TestLateRequestsAreNotRead(t *testing.T) {
	const maxWindow = 3 * time.Second
	for grace := 4 * time.Second; grace <= time.Minute; grace += time.Second {
		window := readWindow(grace)
		if window > maxWindow {
			t.Errorf("grace period %v: requests are read for %v, want at most %v", grace, window, maxWindow)
		}
		if window+stopMargin > grace || window <= serverDrainDelay {
			t.Errorf("grace period %v: read window is %v", grace, window)
		}
	}
}
