package sidecar

import (
	"fmt"

	"ivydeck/internal/metrics"
	"ivydeck/internal/transport/wire"
)

const shownPriorities = 4 // chances of 0 to 3

// newMetrics are what the node shows of itself.
func (n *Node) newMetrics() *metrics.Set {
	ofServices := func(read func(emit func(value float64, labels ...string))) func() []metrics.Reading {
		return func() (list []metrics.Reading) {
			read(func(value float64, labels ...string) {
				list = append(list, metrics.Reading{Value: value, Labels: labels})
			})
			return list
		}
	}
	return metrics.New(
		metrics.Gauge{Name: "ivydeck_admission_r", Help: "Period average of the node's own requests, in aims.", Labels: []string{"service"},
			Read: ofServices(func(emit func(float64, ...string)) {
				for _, r := range n.outbound.Readings(0) {
					emit(r.NormalizedLatency, r.Service)
				}
			})},
		metrics.Gauge{Name: "ivydeck_admission_chance", Help: "Of a new graph to be admitted.", Labels: []string{"service", "priority"},
			Read: ofServices(func(emit func(float64, ...string)) {
				for _, r := range n.outbound.Readings(shownPriorities) {
					for p, chance := range r.Probabilities {
						emit(chance, r.Service, fmt.Sprint(p))
					}
				}
			})},
		metrics.Gauge{Name: "ivydeck_repeats_left", Help: "Of this node's part of the retry budget.", Labels: []string{"service"},
			Read: ofServices(func(emit func(float64, ...string)) {
				for _, r := range n.outbound.Readings(0) {
					emit(r.RetryBudgetLeft, r.Service)
				}
			})},
		metrics.Gauge{Name: "ivydeck_server_requests", Help: "At a server beside this node, and waiting for it.", Labels: []string{"server", "state"},
			Read: ofServices(func(emit func(float64, ...string)) {
				servers, inflight, waiting := n.inbound.Load()
				for i, b := range servers {
					emit(float64(inflight[i]), b.ID, "running")
					emit(float64(waiting[i]), b.ID, "waiting")
				}
			})},
		metrics.Gauge{Name: "ivydeck_server_ejected", Help: "1 for callers of a zone (* is all) to whom a server beside this node is ejected for its failures.",
			Labels: []string{"server", "zone"}, Read: ofServices(func(emit func(float64, ...string)) {
				for id, zones := range n.inbound.Unhealthy() {
					for _, zone := range zones {
						emit(1, id, zone)
					}
				}
			})},
		metrics.Gauge{Name: "ivydeck_members", Help: "Nodes that are known, by state.", Labels: []string{"state"},
			Read: ofServices(func(emit func(float64, ...string)) {
				alive, suspect := 0, 0
				for _, m := range n.gossip.Members() {
					if m.State == wire.Member_ALIVE {
						alive++
					} else {
						suspect++
					}
				}
				emit(float64(alive), "alive")
				emit(float64(suspect), "suspect")
			})},
		metrics.One("ivydeck_update_index", "Index of the latest update that is known.", func() float64 { return float64(n.hub.Index()) }),
		metrics.One("ivydeck_update_age_seconds", "Since the state was known to be the newest.", func() float64 { return n.follower.Age().Seconds() }),
		metrics.One("ivydeck_update_depth", "Places between this node and the quorum.", func() float64 { return float64(n.hub.Depth()) }),
		metrics.One("ivydeck_identity_refused", "Connections and calls of others that were refused for their identity.", func() float64 { return float64(n.refused.Load()) }),
		metrics.One("ivydeck_identity_ends_seconds", "Time that is left of this process's certificate; -1: it has none.", func() float64 { return n.pool.Identity().Remaining().Seconds() }),
		metrics.One("ivydeck_client_connections", "Open.", func() float64 { return float64(n.front.Open()) }),
		metrics.One("ivydeck_client_requests", "Without an answer.", func() float64 { return float64(n.front.Pending()) }),
	)
}
