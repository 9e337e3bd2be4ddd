package server

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

const (
	askWithin = 2 * time.Second // for all nodes together
	askAtOnce = 32              // nodes that are asked at a time
)

// askAll makes a call to each living node, some at a time, and takes the answers one after another. Any quorum member can:
// nodes are known by the members.
func askAll[T any, P interface {
	*T
	proto.Message
}](ctx context.Context, n *Node, method string, q proto.Message, take func(P)) (asked, silent int) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	var mu sync.Mutex
	places := make(chan struct{}, askAtOnce)
	var asking sync.WaitGroup
	for _, m := range n.gossip.Members() {
		if m.QuorumMember || m.State != wire.Member_ALIVE {
			continue
		}
		asked++
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			answer := P(new(T))
			err := n.pool.Call(ctx, m.Address, method, q, answer)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent++
				return
			}
			take(answer)
		})
	}
	asking.Wait()
	return asked, silent
}
