package server

import (
	"ivydeck/internal/metrics"
)

// newMetrics returns the member's metrics, documented in docs/operations.md.
func (srv *Server) newMetrics() *metrics.Set {
	return metrics.New(metrics.Gauge{Name: "ivydeck_core", Help: "The core as this machine knows it: term, commit, leads (1 or 0), revision, members, voters, servers; seconds since a quorum confirmed its state; calls refused for their identity, and seconds that its own is good for (-1: none).",
		Labels: []string{"what"}, Read: func() (list []metrics.Reading) {
			status, err := srv.currentStatus(srv.ctx)
			if err != nil {
				return nil
			}
			isLeader, voters := 0.0, 0
			if status.IsLeader {
				isLeader = 1
			}
			for _, m := range status.Members {
				if m.Voter {
					voters++
				}
			}
			for quantity, value := range map[string]float64{"term": float64(status.Term), "commit": float64(status.Commit), "leads": isLeader, "revision": float64(status.Revision),
				"members": float64(len(status.Members)), "voters": float64(voters), "servers": float64(len(status.Servers)),
				"age_seconds": srv.contactAge().Seconds(), "identity_refused": float64(srv.rejectedCalls.Load()), "identity_ends_seconds": srv.pool.Identity().Remaining().Seconds()} {
				list = append(list, metrics.Reading{Value: value, Labels: []string{quantity}})
			}
			return list
		}})
}
