package control

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"
	"ivydeck/internal/raft"
	"ivydeck/internal/wire"
)

// Errors of a change or a read.
var (
	errLost    = errors.New("another entry took its place")
	errTimeout = errors.New("no majority in time")
	errYoung   = errors.New("the core has too few members yet")
)

// change is a proposal that waits to be applied.
type change struct {
	term   uint64
	result chan error
}

// change proposes a command and waits for its verdict.
func (n *Node) change(ctx context.Context, cmd *wire.Command) error {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	c := &change{result: make(chan error, 1)}
	n.do(func() {
		if n.consensus.Leads() && raft.Voters(n.consensus.Peers()) < n.fewest() {
			c.result <- errYoung
			return
		}
		if len(n.changes) >= mostWaiting {
			c.result <- raft.ErrBusy
			return
		}
		index, term, err := n.consensus.Propose(n.now(), data)
		if err != nil {
			c.result <- err
			return
		}
		c.term = term
		n.changes[index] = c
	})
	select {
	case err := <-c.result:
		return err
	case <-ctx.Done():
		return errTimeout // it may still be taken
	}
}

// fewest is the number of voters below which nothing is acknowledged: with
// fewer, the losses that are to be borne could take a change away.
func (n *Node) fewest() int {
	set := n.set.Load()
	return min(2*set.Tolerated+1, len(set.Seeds))
}

// read waits until all that was acknowledged before the call is in the state
// here, and then looks at the state in the loop.
func (n *Node) read(ctx context.Context, look func()) error {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	result := make(chan error, 1)
	n.do(func() {
		if len(n.reads) >= mostWaiting {
			result <- raft.ErrBusy
			return
		}
		n.token++
		n.reads[n.token] = result
		n.consensus.Read(n.now(), n.token)
	})
	select {
	case err := <-result:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return errTimeout
	}
	// A confirmed read has the commit index of its time, and the loop applies
	// what is committed before it answers.
	done := make(chan struct{})
	if !n.do(func() { look(); close(done) }) {
		return n.ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errTimeout
	}
}

// propose takes a data node's change of the list of servers.
func (n *Node) propose(ctx context.Context, p *wire.Propose) (*wire.Proposed, error) {
	if p.GetCommand().GetConfig() != nil {
		return nil, errors.New("configurations are taken from operators only")
	}
	leader, self := n.ask(ctx)
	if !self {
		return &wire.Proposed{Leader: leader.GetAddress()}, nil
	}
	if err := n.change(ctx, p.Command); err != nil {
		n.log.Debug("change.refused", "err", err)
		return &wire.Proposed{}, nil
	}
	return &wire.Proposed{Done: true}, nil
}

// latest tells how far the updates have come.
func (n *Node) latest(ctx context.Context, _ *wire.Ask) (*wire.Latest, error) {
	leader, self := n.ask(ctx)
	if !self {
		return &wire.Latest{Leader: leader.GetAddress()}, nil
	}
	answer := &wire.Latest{Known: true}
	if err := n.read(ctx, func() { answer.Index = n.catalog.Index() }); err != nil {
		return &wire.Latest{}, nil
	}
	return answer, nil
}
