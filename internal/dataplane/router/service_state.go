package router

import (
	"slices"
	"time"
)

// ServiceState is the state of a service at this node.
type ServiceState struct {
	Service           string
	NormalizedLatency float64 // response time in multiples of the latency target
	Pressure          float64 // the same, or what stands in for it: see decide.Gate
	Servers           int     // that may receive requests
	Probabilities     []float64
	RetryBudgetLeft   float64 // retries that may be sent now
}

// ServiceState returns the state of one service; ok is false before its first use.
func (t *Table) ServiceState(now time.Duration, service string, priorities int) (r ServiceState, ok bool) {
	s := t.services[service]
	if s == nil {
		return r, false
	}
	return t.serviceState(now, service, s, priorities), true
}

func (t *Table) serviceState(now time.Duration, name string, s *service, priorities int) ServiceState {
	r := ServiceState{Service: name, NormalizedLatency: s.gate.NormalizedLatency(), Pressure: s.gate.Pressure(now), RetryBudgetLeft: s.budget.Available(now), Servers: len(t.targets[name])}
	for p := range priorities {
		r.Probabilities = append(r.Probabilities, s.gate.Probability(now, p))
	}
	return r
}

// ServiceStates returns the state of all services that were used, by name, with the probabilities of admission of the
// priorities 0 to priorities-1.
func (t *Table) ServiceStates(now time.Duration, priorities int) []ServiceState {
	var list []ServiceState
	for name, s := range t.services {
		list = append(list, t.serviceState(now, name, s, priorities))
	}
	slices.SortFunc(list, func(a, b ServiceState) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return list
}

// Pressure is a service's pressure as the calls of this node see it (see decide.Gate); 0: the service is not known.
func (t *Table) Pressure(now time.Duration, service string) float64 {
	if s := t.services[service]; s != nil {
		return s.gate.Pressure(now)
	}
	return 0
}
