package lab

import (
	"errors"
	"time"

	"ivydeck/internal/controlplane/catalog"
)

// sendConfigs sends the next configuration. From its acknowledgement on, no read may
// return an older one.
func (s *sim) sendConfigs() {
	every := sec(s.scenario.Operator.EveryS)
	retry := func(d time.Duration) { s.after(d, s.sendConfigs) }
	body, err := s.scenario.config(s.baseRevision + 1)
	s.check(err)
	base := s.baseRevision
	sentAt := s.now
	s.callLeader(nil, len(body), func(c *quorumMember, answer func(error)) {
		current := c.catalog.Current()
		config, err := current.Parse(body)
		s.check(err)
		c.propose(current.Command(base, config, body), answer)
	}, func(err error) {
		switch {
		case err == nil:
			s.ackedRevision, s.baseRevision = max(s.ackedRevision, base+1), base+1
			s.measurements.acks = append(s.measurements.acks, s.now-sentAt)
			if every > 0 {
				retry(every)
			}
		case errors.Is(err, catalog.ErrStale):
			s.readRevision(retry)
		default:
			retry(300 * time.Millisecond)
		}
	})
}

// readRevision reads the current revision, and checks that it is not older than any
// that was acknowledged before.
func (s *sim) readRevision(retry func(time.Duration)) {
	s.callLeader(nil, rpcBytes, func(c *quorumMember, answer func(error)) {
		acked := s.ackedRevision // before the read
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
	}, func(error) { retry(100 * time.Millisecond) })
}

// callLeader calls f in the leader's loop, and done with its result. It tries members in
// turn until one knows the leader. from is the caller's machine; nil: the operator's.
func (s *sim) callLeader(from *machine, size int, f func(c *quorumMember, answer func(error)), done func(error)) {
	if from == nil {
		from = &s.outside
	}
	first := s.rng.IntN(len(s.members))
	var try func(i int, c *quorumMember)
	try = func(i int, c *quorumMember) {
		if i > 2*len(s.members) {
			done(errProposalDropped)
			return
		}
		next := func() { try(i+1, s.members[(first+i+1)%len(s.members)]) }
		s.call(from, &c.machine, size, controlCallTimeout, func(answer func(int, func())) {
			c.post(func() {
				if !c.raft.IsLeader() {
					to := c.leader()
					answer(rpcBytes, func() {
						if to == nil || to == c {
							next()
						} else {
							try(i+1, to)
						}
					})
					return
				}
				f(c, func(err error) { answer(rpcBytes, func() { done(err) }) })
			})
		}, func(sent bool) {
			if sent {
				done(errProposalDropped) // it may still be committed
			} else {
				next()
			}
		})
	}
	try(0, s.members[first])
}
