package server

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

const (
	nodeQueryTimeout = 2 * time.Second // for all nodes together
	maxNodeQueries   = 32              // in flight
)

// queryNodes makes a call to each living node, some at a time, and passes the answers to collect one by one. Any quorum
// member can, since each has the cluster membership.
func queryNodes[T any, P interface {
	*T
	proto.Message
}](ctx context.Context, srv *Server, method string, request proto.Message, collect func(P)) (queried, unresponsive int) {
	ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	slots := make(chan struct{}, maxNodeQueries)
	var queries sync.WaitGroup
	for _, m := range srv.gossip.Members() {
		if m.QuorumMember || m.State != wire.Member_ALIVE {
			continue
		}
		queried++
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			answer := P(new(T))
			err := srv.pool.Call(ctx, m.Address, method, request, answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unresponsive++
				return
			}
			collect(answer)
		})
	}
	queries.Wait()
	return queried, unresponsive
}
