package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	slots             = 16
	workMs            = 10
	heartbeatInterval = 500 * time.Millisecond
)

// workHandler answers after some work, in as many slots as the server registers.
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
