package server

import (
	"context"

	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

const (
	// maxQueuedMessages bounds the messages queued for a member. Further ones are dropped; the protocol resends them.
	maxQueuedMessages = 128
	// maxStaleMessages bounds the messages kept while a member is unreachable. Older ones are dropped as outdated.
	maxStaleMessages = 8
	// maxObservedAddresses bounds observedAddresses, since messages may come from processes that are not members.
	maxObservedAddresses = 64
)

// sender sends messages to one member from its own goroutine.
type sender struct {
	address string
	queue   chan *wire.RaftMessage
	cancel  context.CancelFunc
}

// send queues a message for its receiver. A snapshot is sent separately, by startTransfer.
func (srv *Server) send(message *wire.RaftMessage) {
	address := srv.addressOf(message.To)
	if address == "" {
		return
	}
	if message.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
		srv.startTransfer(message, address)
		return
	}
	message.Address = srv.settings.Load().Internal()
	select {
	case srv.senderTo(message.To, address).queue <- message:
	default: // the protocol resends lost messages
	}
}

// addressOf returns a process's address from the membership or else from its messages. It returns "" if unknown.
func (srv *Server) addressOf(id uint64) string {
	if p := srv.peer(id); p != nil {
		return p.Address
	}
	return srv.observedAddresses[id]
}

// senderTo returns the sender for a member at an address. It starts one if there is none, or if the address has
// changed.
func (srv *Server) senderTo(id uint64, address string) *sender {
	if s := srv.senders[id]; s != nil {
		if s.address == address {
			return s
		}
		s.cancel()
	}
	ctx, cancel := context.WithCancel(srv.ctx)
	s := &sender{address: address, queue: make(chan *wire.RaftMessage, maxQueuedMessages), cancel: cancel}
	srv.senders[id] = s
	srv.workers.Go(func() { s.run(ctx, srv.pool) })
	srv.stopStaleSenders(id)
	return s
}

// stopStaleSenders stops the senders for processes that are not members. It skips the process with identity
// except.
func (srv *Server) stopStaleSenders(except uint64) {
	for id, s := range srv.senders {
		if id != except && srv.peer(id) == nil {
			s.cancel()
			delete(srv.senders, id)
		}
	}
}

// run sends the queued messages in order, and opens a new stream after an error.
func (s *sender) run(ctx context.Context, pool *rpc.Pool) {
	var stream *rpc.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		var message *wire.RaftMessage
		select {
		case message = <-s.queue:
		case <-ctx.Done():
			return
		}
		if stream != nil {
			if stream.Send(message) == nil {
				continue
			}
			stream.Close()
		}
		var err error
		if stream, err = pool.Open(ctx, s.address, "raft", message); err != nil {
			stream = nil
			for len(s.queue) > maxStaleMessages {
				<-s.queue
			}
		}
	}
}

// raftStream receives the messages of one stream and passes them to the consensus.
func (srv *Server) raftStream(stream *rpc.Stream) error {
	for {
		message := new(wire.RaftMessage)
		if err := stream.Recv(message); err != nil {
			return err
		}
		if !srv.runInLoop(func() {
			if len(srv.observedAddresses) >= maxObservedAddresses {
				clear(srv.observedAddresses)
			}
			srv.observedAddresses[message.From] = message.Address
			srv.consensus.Step(srv.now(), message)
		}) {
			return srv.ctx.Err()
		}
	}
}

// peer returns the member of the newest membership with this identity, or nil.
func (srv *Server) peer(id uint64) *wire.Peer {
	for _, p := range srv.consensus.Peers() {
		if p.Id == id {
			return p
		}
	}
	return nil
}

// leader returns the leader, or nil if this member knows none.
func (srv *Server) leader() *wire.Peer { return srv.peer(srv.consensus.Leader()) }
