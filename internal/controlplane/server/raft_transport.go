package server

import (
	"context"

	"ivydeck/internal/transport/rpc"
	"ivydeck/internal/transport/wire"
)

const (
	// maxQueuedMessages bounds the messages that wait for a member; further ones are dropped, as the protocol repeats them.
	maxQueuedMessages = 128
	// maxStaleMessages is how many messages are kept while a member can't be reached: older ones are out of date.
	maxStaleMessages = 8
	// maxSenderAddresses bounds the addresses of processes that are not, or not yet, members.
	maxSenderAddresses = 64
)

// sender sends messages to one member, from a goroutine of its own.
type sender struct {
	address string
	queue   chan *wire.RaftMessage
	cancel  context.CancelFunc
}

// send passes a message to the sender of its receiver.
func (srv *Server) send(m *wire.RaftMessage) {
	address := srv.addressOf(m.To)
	if address == "" {
		return
	}
	if m.Kind == wire.RaftMessage_INSTALL_SNAPSHOT {
		srv.startTransfer(m, address)
		return
	}
	m.Address = srv.settings.Load().Internal()
	select {
	case srv.senderTo(m.To, address).queue <- m:
	default: // the protocol repeats what is lost
	}
}

// addressOf returns a member's address, by the membership or else by its own messages; empty: not known.
func (srv *Server) addressOf(id uint64) string {
	if p := srv.peer(id); p != nil {
		return p.Address
	}
	return srv.senderAddresses[id]
}

// senderTo returns the sender to a member at an address, and starts it if need be.
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
	srv.stopSendersToOthers(id)
	return s
}

// stopSendersToOthers ends the senders to processes that are no longer members, but for one.
func (srv *Server) stopSendersToOthers(except uint64) {
	for id, s := range srv.senders {
		if id != except && srv.peer(id) == nil {
			s.cancel()
			delete(srv.senders, id)
		}
	}
}

// run sends messages in order, over one stream as long as that lasts.
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
			for len(s.queue) > maxStaleMessages {
				<-s.queue
			}
		}
	}
}

// raftStream receives the messages of one sender.
func (srv *Server) raftStream(s *rpc.Stream) error {
	for {
		m := new(wire.RaftMessage)
		if err := s.Recv(m); err != nil {
			return err
		}
		if !srv.runInLoop(func() {
			if len(srv.senderAddresses) >= maxSenderAddresses {
				clear(srv.senderAddresses)
			}
			srv.senderAddresses[m.From] = m.Address
			srv.consensus.Step(srv.now(), m)
		}) {
			return srv.ctx.Err()
		}
	}
}

// peer returns a member of the newest membership; nil: there is none with this identity.
func (srv *Server) peer(id uint64) *wire.Peer {
	for _, p := range srv.consensus.Peers() {
		if p.Id == id {
			return p
		}
	}
	return nil
}

// leader returns the leader as this member knows it; nil: not known.
func (srv *Server) leader() *wire.Peer { return srv.peer(srv.consensus.Leader()) }
