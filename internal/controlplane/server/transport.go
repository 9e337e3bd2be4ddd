package server

import (
	"context"
	"slices"

	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

// sender carries messages to one member.
type sender struct {
	address string
	queue   chan *wire.RaftMessage
	cancel  context.CancelFunc
}

// send hands a message to the goroutine of its receiver.
func (n *Node) send(m *wire.RaftMessage) {
	address := n.heard[m.To]
	if i := slices.IndexFunc(n.consensus.Peers(), func(p *wire.Peer) bool { return p.Id == m.To }); i >= 0 {
		address = n.consensus.Peers()[i].Address
	}
	if address == "" {
		return
	}
	if m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
		n.startTransfer(m, address)
		return
	}
	m.Address = n.set.Load().Internal()
	s := n.senders[m.To]
	if s != nil && s.address != address {
		s.cancel()
		s = nil
	}
	if s == nil {
		ctx, cancel := context.WithCancel(n.ctx)
		s = &sender{address: address, queue: make(chan *wire.RaftMessage, 128), cancel: cancel}
		n.senders[m.To] = s
		n.workers.Go(func() { s.run(ctx, n.pool) })
		for id, old := range n.senders {
			if id != m.To && !slices.ContainsFunc(n.consensus.Peers(), func(p *wire.Peer) bool { return p.Id == id }) {
				old.cancel()
				delete(n.senders, id)
			}
		}
	}
	select {
	case s.queue <- m:
	default: // the protocol repeats what is lost
	}
}

// run sends messages in their order, over one stream as long as it holds.
func (s *sender) run(ctx context.Context, pool *rpc.Pool) {
	var stream *rpc.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		var m *wire.RaftMessage
		select {
		case m = <-s.queue:
		case <-ctx.Done():
			return
		}
		if stream != nil {
			if stream.Send(m) == nil {
				continue
			}
			stream.Close()
		}
		var err error
		if stream, err = pool.Open(ctx, s.address, "raft", m); err != nil {
			stream = nil
			for len(s.queue) > 8 { // outdated
				<-s.queue
			}
		}
	}
}

// raftStream takes in the messages of one sender.
func (n *Node) raftStream(s *rpc.Stream) error {
	for {
		m := new(wire.RaftMessage)
		if err := s.Recv(m); err != nil {
			return err
		}
		if !n.do(func() {
			if len(n.heard) >= maxHeard {
				clear(n.heard)
			}
			n.heard[m.From] = m.Address
			n.consensus.Step(n.now(), m)
		}) {
			return n.ctx.Err()
		}
	}
}
