package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	slots          = 16
	workMs         = 10
	heartbeatEvery = 500 * time.Millisecond
)

// work answers after some work, in as many slots as the server says it has.
func work(id string) http.Handler {
	places := make(chan struct{}, slots)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		places <- struct{}{}
		defer func() { <-places }()
		time.Sleep(time.Duration(rand.ExpFloat64()*workMs*1000) * time.Microsecond)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", id)
		w.Header().Set("Served-By", id)
		fmt.Fprintf(w, "%s by %s\n", r.URL.Path, id)
	})
}
