package server

import (
	"ivydeck/internal/metrics"
)

// newMetrics returns the member's own metrics: see docs/operations.md.
func (srv *Server) newMetrics() *metrics.Set {
	return metrics.New(metrics.Gauge{Name: "ivydeck_core", Help: "The core as this machine knows it: term, commit, leads (1 or 0), revision, members, voters, servers; seconds since a quorum confirmed its state; calls refused for their identity, and seconds that its own is good for (-1: none).",
		Labels: []string{"what"}, Read: func() (list []metrics.Reading) {
			s, err := srv.currentStatus(srv.ctx)
			if err != nil {
				return nil
			}
			leads, voters := 0.0, 0
			if s.IsLeader {
				leads = 1
			}
			for _, m := range s.Members {
				if m.Voter {
					voters++
				}
			}
			for what, value := range map[string]float64{"term": float64(s.Term), "commit": float64(s.Commit), "leads": leads, "revision": float64(s.Revision),
				"members": float64(len(s.Members)), "voters": float64(voters), "servers": float64(len(s.Servers)),
				"age_seconds": srv.contactAge().Seconds(), "identity_refused": float64(srv.rejectedCalls.Load()), "identity_ends_seconds": srv.pool.Identity().Remaining().Seconds()} {
				list = append(list, metrics.Reading{Value: value, Labels: []string{what}})
			}
			return list
		}})
}
