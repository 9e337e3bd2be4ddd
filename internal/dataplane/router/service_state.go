package router

import (
	"slices"
	"time"
)

// ServiceState is the state of a service as seen by this node.
type ServiceState struct {
	Service           string
	NormalizedLatency float64   // mean response time in multiples of the latency target
	Pressure          float64   // NormalizedLatency, or an estimate from saturation if higher; see decide.Gate
	Servers           int       // number of servers that may receive requests
	Probabilities     []float64 // admission probability of each priority
	RetryBudgetLeft   float64   // retries that may be sent now
}

// ServiceState returns the state of a service; ok is false before its first use.
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

// ServiceStates returns the state of each service that has been used, sorted by name, with the admission probabilities of the
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

// Pressure returns the pressure on a service as measured by the calls of this node; see decide.Gate. It returns 0 before the
// service's first use.
func (t *Table) Pressure(now time.Duration, service string) float64 {
	if s := t.services[service]; s != nil {
		return s.gate.Pressure(now)
	}
	return 0
}
