package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivydeck/internal/config/meshconfig"
)

// heldBody is a request body that ends once it is released. It counts the bytes that were read.
type heldBody struct {
	left    int
	read    *atomic.Int64
	release <-chan struct{}
}

func (b *heldBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.release
		return 0, io.EOF
	}
	n := min(b.left, len(p))
	b.left -= n
	b.read.Add(int64(n))
	return n, nil
}

// TestUploadMemoryIsBounded guards against calls at once that together take a process over its memory: each of them kept its
// body while the others were read.
func TestUploadMemoryIsBounded(t *testing.T) {
	for name, declared := range map[string]int64{"with a length": meshconfig.MaxBytes, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			srv := newSingleMember(t)
			handler := srv.routes()
			var read atomic.Int64
			release := make(chan struct{})
			var calls sync.WaitGroup
			var unavailable atomic.Int64
			const callsAtOnce = 3 * maxConcurrentReplaces
			for range callsAtOnce {
				body := &heldBody{left: meshconfig.MaxBytes - 1, read: &read, release: release}
				calls.Go(func() {
					r := httptest.NewRequest(http.MethodPost, replacePath, body)
					r.ContentLength = declared
					r.Header.Set("Base-Revision", "0")
					w := httptest.NewRecorder()
					handler.ServeHTTP(w, r)
					if w.Code == http.StatusServiceUnavailable {
						unavailable.Add(1)
					} else if w.Code != http.StatusBadRequest {
						t.Errorf("status %d, want 400 or 503", w.Code)
					}
				})
			}
			waitUntil(t, func() bool { return read.Load() >= meshconfig.MaxBytes-1 })
			small := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, replacePath, strings.NewReader(encodeConfig(t, 3, "a")))
			r.Header.Set("Base-Revision", "0")
			waitUntil(t, func() bool { return unavailable.Load() > 0 })
			handler.ServeHTTP(small, r)
			if small.Code != http.StatusOK {
				t.Errorf("a small configuration beside large ones: status %d, want 200", small.Code)
			}
			if held := read.Load(); held > maxUploadBytes {
				t.Errorf("%d calls hold %d bytes at once, want at most %d", callsAtOnce, held, maxUploadBytes)
			}
			close(release)
			calls.Wait()
			if !srv.uploads.bytes.TryAcquire(maxUploadBytes) || !srv.uploads.slots.TryAcquire(maxConcurrentReplaces) {
				t.Error("calls that have ended still hold memory or slots")
			}
		})
	}
}

// waitUntil waits for a condition.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not hold within 20 s")
		}
	}
}
