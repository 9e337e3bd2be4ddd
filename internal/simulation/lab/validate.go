package lab

import (
	"fmt"
	"slices"
)

const (
	maxSeconds       = 7 * 86400 // a week
	maxNodes         = 20000
	maxLoss          = 0.5 // share of segments
	defaultChaosForS = 4
)

// validator collects the errors of a scenario.
type validator struct {
	scenario *Scenario
	errors   []error
}

func (v *validator) add(format string, args ...any) {
	v.errors = append(v.errors, fmt.Errorf(format, args...))
}

func (v *validator) validate() {
	v.validateSizes()
	v.validateServices()
	v.validateRoutes()
	for i, f := range v.scenario.Faults {
		v.validateFault(i, f)
	}
	v.validateChaos()
}

func (v *validator) validateSizes() {
	s := v.scenario
	if s.Seconds <= 0 || s.Seconds > maxSeconds || s.Zones < 1 || s.QuorumMembers < 1 || s.Nodes < 1 || s.Nodes > maxNodes {
		v.add("seconds, zones, cores and nodes must be positive, seconds at most a week, and nodes at most %d", maxNodes)
	}
	if s.Net.LinkMs <= 0 || s.SyncMs <= 0 || s.HeartbeatMs <= 0 || s.DrainMs <= 0 || s.Retry.WindowS <= 0 {
		v.add("net.link_ms, sync_ms, heartbeat_ms, drain_ms and retry.window_s must be positive")
	}
	if s.Net.Loss < 0 || s.Net.Loss > maxLoss {
		v.add("net.loss is %g, not between 0 and %g", s.Net.Loss, maxLoss)
	}
}

func (v *validator) validateServices() {
	names, servers := map[string]bool{}, 0
	for i, s := range v.scenario.Services {
		if s.Name == "" || s.Servers < 0 || s.Slots < 1 || s.WorkMs <= 0 {
			v.add("service %d (%s) needs a name, no negative servers, at least 1 slot and a positive work_ms", i, s.Name)
		}
		if !isShare(s.Tail) || !isShare(s.Errors) || s.SlowStartS < 0 || slices.ContainsFunc(s.Speeds, func(x float64) bool { return x <= 0 }) {
			v.add("service %d (%s): tail and errors must be between 0 and 1, cold_s not negative, and speeds positive", i, s.Name)
		}
		if names[s.Name] {
			v.add("duplicate service %s", s.Name)
		}
		names[s.Name] = true
		servers += s.Servers
	}
	if servers > v.scenario.Nodes {
		v.add("%d servers do not fit on %d nodes, each of which runs at most one", servers, v.scenario.Nodes)
	}
}

func (v *validator) validateRoutes() {
	services, routes := map[string]bool{}, map[string]bool{}
	for _, s := range v.scenario.Services {
		services[s.Name] = true
	}
	for i, r := range v.scenario.Routes {
		if !services[r.Service] || r.Name == "" || routes[r.Name] {
			v.add("route %d (%s) needs a unique name and a known service", i, r.Name)
		}
		routes[r.Name] = true
		if r.TargetLatencyMs <= 0 || r.TimeoutMs <= 0 || r.Rate < 0 || r.Priority < 0 {
			v.add("route %s: aim_ms and timeout_ms must be positive, rate and priority not negative", r.Name)
		}
	}
	for _, r := range v.scenario.Routes {
		for _, c := range r.Calls {
			if !routes[c.Route] || c.Route == r.Name {
				v.add("route %s calls %q, which is not another route", r.Name, c.Route)
			}
		}
	}
}

func (v *validator) validateFault(i int, f Fault) {
	kind, _ := f.target()
	switch targets, known := faultTargets[f.Kind]; {
	case !known:
		v.add("trouble %d: unknown kind %q", i, f.Kind)
	case !slices.Contains(targets, kind):
		v.add("trouble %d: %s applies to %v, not %q", i, f.Kind, targets, f.Target)
	case v.scenario.targetIndex(f) < 0:
		v.add("trouble %d: target %q does not exist", i, f.Target)
	}
	if f.Kind == Grey && (!slices.Contains(greyModes, f.Mode) || !isShare(f.Factor)) {
		v.add("trouble %d: how must be one of %v, and factor between 0 and 1, for kind grey", i, greyModes)
	}
	if !isShare(f.Share) {
		v.add("trouble %d: share is %g, not between 0 and 1", i, f.Share)
	}
	if f.AtS < 0 || f.ForS <= 0 {
		v.add("trouble %d: at_s must not be negative, and for_s must be positive", i)
	}
}

func (v *validator) validateChaos() {
	c := v.scenario.Chaos
	if c.EveryS < 0 || c.ForS < 0 {
		v.add("chaos: every_s and for_s must not be negative")
	}
	for _, kind := range c.Kinds {
		if _, known := faultTargets[kind]; !known {
			v.add("chaos: unknown kind %q", kind)
		}
	}
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
