package sidecar

import (
	"fmt"
	"slices"

	"ivydeck/internal/metrics"
	"ivydeck/internal/transport/wire"
)

const exportedPriorities = 4 // priorities 0 to 3 are exported

// newMetrics returns the node's metrics. Their names are a stable interface; see docs/operations.md.
func (n *Node) newMetrics() *metrics.Set {
	gauges := slices.Concat(n.serviceGauges(), n.serverGauges(), n.clusterGauges(), n.processGauges())
	return metrics.New(gauges...)
}

// emitter adds a reading with the values of its labels.
type emitter func(value float64, labels ...string)

// readings returns a function for Gauge.Read that collects the readings that read emits.
func readings(read func(emit emitter)) func() []metrics.Reading {
	return func() (list []metrics.Reading) {
		read(func(value float64, labels ...string) {
			list = append(list, metrics.Reading{Value: value, Labels: labels})
		})
		return list
	}
}

func (n *Node) serviceGauges() []metrics.Gauge {
	return []metrics.Gauge{
		{Name: "ivydeck_admission_r", Help: "Period average of the node's own requests, in aims.", Labels: []string{"service"},
			Read: readings(func(emit emitter) {
				for _, s := range n.outbound.ServiceStates(0) {
					emit(s.NormalizedLatency, s.Service)
				}
			})},
		{Name: "ivydeck_admission_chance", Help: "Of a new graph to be admitted.", Labels: []string{"service", "priority"},
			Read: readings(func(emit emitter) {
				for _, s := range n.outbound.ServiceStates(exportedPriorities) {
					for priority, probability := range s.Probabilities {
						emit(probability, s.Service, fmt.Sprint(priority))
					}
				}
			})},
		{Name: "ivydeck_repeats_left", Help: "Of this node's part of the retry budget.", Labels: []string{"service"},
			Read: readings(func(emit emitter) {
				for _, s := range n.outbound.ServiceStates(0) {
					emit(s.RetryBudgetLeft, s.Service)
				}
			})},
	}
}

func (n *Node) serverGauges() []metrics.Gauge {
	return []metrics.Gauge{
		{Name: "ivydeck_server_requests", Help: "At a server beside this node, and waiting for it.", Labels: []string{"server", "state"},
			Read: readings(func(emit emitter) {
				servers, inflight, queued := n.inbound.Load()
				for i, s := range servers {
					emit(float64(inflight[i]), s.ID, "running")
					emit(float64(queued[i]), s.ID, "waiting")
				}
			})},
		{Name: "ivydeck_server_ejected", Help: "1 for callers of a zone (* is all) to whom a server beside this node is ejected for its failures.",
			Labels: []string{"server", "zone"}, Read: readings(func(emit emitter) {
				for id, zones := range n.inbound.Unhealthy() {
					for _, zone := range zones {
						emit(1, id, zone)
					}
				}
			})},
	}
}

func (n *Node) clusterGauges() []metrics.Gauge {
	return []metrics.Gauge{
		{Name: "ivydeck_members", Help: "Nodes that are known, by state.", Labels: []string{"state"},
			Read: readings(func(emit emitter) {
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
		metrics.NewGauge("ivydeck_update_index", "Index of the latest update that is known.", func() float64 { return float64(n.hub.Index()) }),
		metrics.NewGauge("ivydeck_update_age_seconds", "Since the state was known to be the newest.", func() float64 { return n.follower.Age().Seconds() }),
		metrics.NewGauge("ivydeck_update_depth", "Places between this node and the quorum.", func() float64 { return float64(n.hub.Depth()) }),
	}
}

func (n *Node) processGauges() []metrics.Gauge {
	return []metrics.Gauge{
		metrics.NewGauge("ivydeck_identity_refused", "Connections and calls of others that were refused for their identity.", func() float64 { return float64(n.refused.Load()) }),
		metrics.NewGauge("ivydeck_identity_ends_seconds", "Time that is left of this process's certificate; -1: it has none.", func() float64 { return n.pool.Identity().Remaining().Seconds() }),
		metrics.NewGauge("ivydeck_client_connections", "Open.", func() float64 { return float64(n.frontend.Open()) }),
		metrics.NewGauge("ivydeck_client_requests", "Without an answer.", func() float64 { return float64(n.frontend.Pending()) }),
		metrics.NewGauge("ivydeck_client_body_bytes", "Large bodies of requests without an answer.", func() float64 { return float64(n.frontend.BodyMemory()) }),
	}
}
