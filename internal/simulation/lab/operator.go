package lab

import (
	"errors"
	"time"

	"ivydeck/internal/controlplane/catalog"
)

// sendConfigs sends the next configuration, and schedules the following one if the scenario
// sets an interval. A read that starts after an acknowledgement must return at least the
// acknowledged revision.
func (s *sim) sendConfigs() {
	every := sec(s.scenario.Operator.EveryS)
	scheduleNext := func(d time.Duration) { s.after(d, s.sendConfigs) }
	body, err := s.scenario.config(s.baseRevision + 1)
	s.check(err)
	base := s.baseRevision
	sentAt := s.now
	s.callLeader(nil, len(body), func(leader *quorumMember, answer func(error)) {
		current := leader.catalog.Current()
		config, err := current.Parse(body)
		s.check(err)
		leader.propose(current.Command(base, config, body), answer)
	}, func(err error) {
		switch {
		case err == nil:
			s.ackedRevision, s.baseRevision = max(s.ackedRevision, base+1), base+1
			s.measurements.ackLatencies = append(s.measurements.ackLatencies, s.now-sentAt)
			if every > 0 {
				scheduleNext(every)
			}
		case errors.Is(err, catalog.ErrStale):
			s.readRevision(scheduleNext)
		default:
			scheduleNext(300 * time.Millisecond)
		}
	})
}

// readRevision reads the current revision, and records a violation if it is older than one
// that was acknowledged before the read.
func (s *sim) readRevision(scheduleNext func(time.Duration)) {
	s.callLeader(nil, rpcBytes, func(leader *quorumMember, answer func(error)) {
		acked := s.ackedRevision // before the read starts
		leader.read(func(ok bool) {
			if !ok {
				answer(errNotCompleted)
				return
			}
			if revision := leader.catalog.Revision(); revision < acked {
				s.recordViolation("a read at %s returned revision %d, older than the acknowledged revision %d", leader.name, revision, acked)
			} else {
				s.baseRevision = revision
			}
			answer(nil)
		})
	}, func(error) { scheduleNext(100 * time.Millisecond) })
}

// callLeader calls f in the leader's event loop, and done with its result. It tries the
// quorum members in turn until one names the leader. from is the calling machine, or nil
// for the operator's.
func (s *sim) callLeader(from *machine, size int, f func(member *quorumMember, answer func(error)), done func(error)) {
	if from == nil {
		from = &s.operatorMachine
	}
	first := s.rng.IntN(len(s.members))
	var callMember func(i int, member *quorumMember)
	callMember = func(i int, member *quorumMember) {
		if i > 2*len(s.members) {
			done(errNotCompleted)
			return
		}
		next := func() { callMember(i+1, s.members[(first+i+1)%len(s.members)]) }
		s.call(from, &member.machine, size, controlCallTimeout, func(answer func(int, func())) {
			member.post(func() {
				if !member.raft.IsLeader() {
					leader := member.leader()
					answer(rpcBytes, func() {
						if leader == nil || leader == member {
							next()
						} else {
							callMember(i+1, leader)
						}
					})
					return
				}
				f(member, func(err error) { answer(rpcBytes, func() { done(err) }) })
			})
		}, func(sent bool) {
			if sent {
				done(errNotCompleted) // it may still be committed
			} else {
				next()
			}
		})
	}
	callMember(0, s.members[first])
}
