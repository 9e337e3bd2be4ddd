package lab

import (
	"errors"
	"time"

	"ivydeck/internal/controlplane/catalog"
)

// sendConfigs sends configurations. What was acknowledged has to be there ever after.
func (s *sim) sendConfigs() {
	every := sec(s.scenario.Operator.EveryS)
	again := func(d time.Duration) { s.after(d, s.sendConfigs) }
	body, err := s.scenario.config(s.baseRevision + 1)
	s.check(err)
	base := s.baseRevision
	asked := s.now
	s.callLeader(nil, len(body), func(c *quorumMember, answer func(error)) {
		current := c.catalog.Current()
		config, err := current.Parse(body)
		s.check(err)
		c.propose(current.Command(base, config, body), answer)
	}, func(err error) {
		switch {
		case err == nil:
			s.ackedRevision, s.baseRevision = max(s.ackedRevision, base+1), base+1
			s.measurements.acks = append(s.measurements.acks, s.now-asked)
			if every > 0 {
				again(every)
			}
		case errors.Is(err, catalog.ErrStale):
			s.readRevision(again)
		default:
			again(300 * time.Millisecond)
		}
	})
}

// readRevision learns the revision in force.
func (s *sim) readRevision(again func(time.Duration)) {
	s.callLeader(nil, rpcBytes, func(c *quorumMember, answer func(error)) {
		acked := s.ackedRevision // before the question
		c.read(func(ok bool) {
			if !ok {
				answer(errProposalDropped)
				return
			}
			if rev := c.catalog.Revision(); rev < acked {
				s.violation("%s reads revision %d, and %d was acknowledged", c.name, rev, acked)
			} else {
				s.baseRevision = rev
			}
			answer(nil)
		})
	}, func(error) { again(100 * time.Millisecond) })
}

// callLeader runs f in the leader's loop, wherever that is; from nil: from outside.
func (s *sim) callLeader(from *machine, size int, f func(c *quorumMember, answer func(error)), done func(error)) {
	if from == nil {
		from = &s.outside
	}
	first := s.rng.IntN(len(s.members))
	var ask func(i int, c *quorumMember)
	ask = func(i int, c *quorumMember) {
		if i > 2*len(s.members) {
			done(errProposalDropped)
			return
		}
		next := func() { ask(i+1, s.members[(first+i+1)%len(s.members)]) }
		s.call(from, &c.machine, size, controlCallTimeout, func(answer func(int, func())) {
			c.post(func() {
				if !c.raft.IsLeader() {
					to := c.leader()
					answer(rpcBytes, func() {
						if to == nil || to == c {
							next()
						} else {
							ask(i+1, to)
						}
					})
					return
				}
				f(c, func(err error) { answer(rpcBytes, func() { done(err) }) })
			})
		}, func(sent bool) {
			if sent {
				done(errProposalDropped) // it may still be taken
			} else {
				next()
			}
		})
	}
	ask(0, s.members[first])
}
