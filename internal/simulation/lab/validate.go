package lab

import (
	"fmt"
	"slices"
)

const (
	maxSeconds       = 7 * 86400
	maxNodes         = 20000
	maxLoss          = 0.5
	defaultChaosForS = 4
)

// validator collects what is wrong with a scenario.
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
		v.add("seconds, zones, cores and nodes have to be positive, and at most a week and %d nodes", maxNodes)
	}
	if s.Net.LinkMs <= 0 || s.SyncMs <= 0 || s.HeartbeatMs <= 0 || s.DrainMs <= 0 || s.Retry.WindowS <= 0 {
		v.add("net.link_ms, sync_ms, heartbeat_ms, drain_ms and retry.window_s have to be positive")
	}
	if s.Net.Loss < 0 || s.Net.Loss > maxLoss {
		v.add("net.loss is %g, not between 0 and %g", s.Net.Loss, maxLoss)
	}
}

func (v *validator) validateServices() {
	names, servers := map[string]bool{}, 0
	for i, s := range v.scenario.Services {
		if s.Name == "" || s.Servers < 0 || s.Slots < 1 || s.WorkMs <= 0 {
			v.add("service %d (%s) needs a name, servers, slots and work_ms", i, s.Name)
		}
		if !isShare(s.Tail) || !isShare(s.Errors) || s.SlowStartS < 0 || slices.ContainsFunc(s.Speeds, func(x float64) bool { return x <= 0 }) {
			v.add("service %d (%s): tail and errors are parts of 1, cold_s and speeds positive", i, s.Name)
		}
		if names[s.Name] {
			v.add("service %s is there twice", s.Name)
		}
		names[s.Name] = true
		servers += s.Servers
	}
	if servers > v.scenario.Nodes {
		v.add("%d servers do not fit on %d nodes, one each", servers, v.scenario.Nodes)
	}
}

func (v *validator) validateRoutes() {
	services, routes := map[string]bool{}, map[string]bool{}
	for _, s := range v.scenario.Services {
		services[s.Name] = true
	}
	for i, r := range v.scenario.Routes {
		if !services[r.Service] || r.Name == "" || routes[r.Name] {
			v.add("route %d (%s) needs a name of its own and a known service", i, r.Name)
		}
		routes[r.Name] = true
		if r.TargetLatencyMs <= 0 || r.TimeoutMs <= 0 || r.Rate < 0 || r.Priority < 0 {
			v.add("route %s needs aim_ms and timeout_ms, and no negative number", r.Name)
		}
	}
	for _, r := range v.scenario.Routes {
		for _, c := range r.Calls {
			if !routes[c.Route] || c.Route == r.Name {
				v.add("route %s calls %q, which is no other route", r.Name, c.Route)
			}
		}
	}
}

func (v *validator) validateFault(i int, f Fault) {
	kind, _ := f.target()
	switch targets, known := faultTargets[f.Kind]; {
	case !known:
		v.add("trouble %d: no kind %q", i, f.Kind)
	case !slices.Contains(targets, kind):
		v.add("trouble %d: %s applies to %v, not %q", i, f.Kind, targets, f.Target)
	case v.scenario.targetIndex(f) < 0:
		v.add("trouble %d: no %q", i, f.Target)
	}
	if f.Kind == Grey && (!slices.Contains(greyModes, f.Mode) || !isShare(f.Factor)) {
		v.add("trouble %d: grey needs a how of %v, and a factor between 0 and 1", i, greyModes)
	}
	if !isShare(f.Share) {
		v.add("trouble %d: share is %g, not between 0 and 1", i, f.Share)
	}
	if f.AtS < 0 || f.ForS <= 0 {
		v.add("trouble %d: at_s and for_s have to be given", i)
	}
}

func (v *validator) validateChaos() {
	c := v.scenario.Chaos
	if c.EveryS < 0 || c.ForS < 0 {
		v.add("chaos: a negative number")
	}
	for _, kind := range c.Kinds {
		if _, known := faultTargets[kind]; !known {
			v.add("chaos: no kind %q", kind)
		}
	}
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
