package server

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

const (
	nodeQueryTimeout = 2 * time.Second // timeout of the queries to all nodes together
	maxNodeQueries   = 32              // maximum number of queries in flight
)

// queryNodes calls a method on each node that gossip reports as alive, except quorum members, with at most
// maxNodeQueries calls in flight. It never calls collect concurrently. It works on any quorum member, since each takes
// part in gossip.
func queryNodes[T any, P interface {
	*T
	proto.Message
}](ctx context.Context, srv *Server, method string, request proto.Message, collect func(P)) (queried, unresponsive int) {
	ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	slots := make(chan struct{}, maxNodeQueries)
	var queries sync.WaitGroup
	for _, member := range srv.gossip.Members() {
		if member.QuorumMember || member.State != wire.Member_ALIVE {
			continue
		}
		queried++
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			response := P(new(T))
			err := srv.pool.Call(ctx, member.Address, method, request, response)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unresponsive++
				return
			}
			collect(response)
		})
	}
	queries.Wait()
	return queried, unresponsive
}
