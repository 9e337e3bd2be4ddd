package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	slots             = 16 // concurrent requests of each server
	workMs            = 10 // mean response time in milliseconds, exponentially distributed
	heartbeatInterval = 500 * time.Millisecond
)

// workHandler returns a handler that responds after a random time. It handles at most slots
// requests at once.
func workHandler(id string) http.Handler {
	free := make(chan struct{}, slots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		free <- struct{}{}
		defer func() { <-free }()
		time.Sleep(time.Duration(rand.ExpFloat64()*workMs*1000) * time.Microsecond)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", id)
		w.Header().Set("Served-By", id)
		fmt.Fprintf(w, "%s by %s\n", r.URL.Path, id)
	})
}
