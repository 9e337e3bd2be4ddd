package membership

import (
	"slices"
	"time"

	"ivydeck/internal/transport/wire"
)

// Action is a probe to send: to Helper about Target where a helper is set, to
// Target itself, or with neither only to compare views. The driver answers with
// Probed.
type Action struct {
	Target  string
	Helper  string
	Address string // where to
	Probe   *wire.ProbeRequest
}

// Wait is how long the driver waits for the answer.
func (a Action) Wait() time.Duration {
	switch {
	case a.Target == "":
		return comparisonTimeout
	case a.Helper != "":
		return 2 * ProbeTimeout
	}
	return ProbeTimeout
}

// Next is when Tick is due.
func (g *Group) Next() time.Duration { return g.next }

// Tick begins the next probe, ends suspicions that nobody has refuted, and at
// times asks seeds, given by address, for what they know.
func (g *Group) Tick(now time.Duration, seeds []string) []Action {
	g.now = now
	keep := g.unreachable[:0]
	for _, m := range g.unreachable {
		switch {
		case m.State == wire.Member_SUSPECT && now-m.since >= suspicionTimeout:
			g.setState(m, wire.Member_DEAD)
			keep = append(keep, m)
		case !reachable(m.State) && now-m.since >= deadRetention:
			delete(g.members, m.Name)
			g.all = slices.DeleteFunc(g.all, func(x *member) bool { return x == m })
			m.unreachable = false
		case m.State == wire.Member_ALIVE:
			m.unreachable = false
		default:
			keep = append(keep, m)
		}
	}
	clear(g.unreachable[len(keep):])
	g.unreachable = keep
	if now < g.next {
		return nil
	}
	g.next = now + ProbeInterval
	var out []Action
	if m := g.nextTarget(); m != nil {
		m.probing, m.asked = true, 0
		out = append(out, Action{Target: m.Name, Address: m.Address, Probe: &wire.ProbeRequest{From: g.self, Updates: g.updates()}})
	}
	return append(out, g.compare(seeds)...)
}

// compare begins to compare views, once it is time.
func (g *Group) compare(seeds []string) (out []Action) {
	alone := len(g.members) == 0
	if alone {
		g.next = min(g.next, g.now+joinInterval)
	} else if g.now < g.compareAt {
		return nil
	}
	g.compareWait = min(max(2*g.compareWait, g.shortestComparisonInterval()), g.longestComparisonInterval())
	g.comparedAt, g.compareAt = g.now, g.now+g.compareWait
	for _, address := range g.comparisonTargets(seeds) {
		out = append(out, g.comparison(address, rangesFor(len(g.members))))
	}
	return out
}

// nextTarget returns the next member of a round in random order.
func (g *Group) nextTarget() *member {
	for range 2 {
		for len(g.order) > 0 {
			m := g.order[0]
			g.order = g.order[1:]
			if !m.probing && reachable(m.State) {
				return m
			}
		}
		g.order = slices.Clone(g.sorted()) // one that is forgotten meanwhile is not up
		g.rng.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
	}
	return nil
}

// Probed takes the answer to an action; nil: none came. What it says of others goes to
// Merge first.
func (g *Group) Probed(now time.Duration, a Action, answer *wire.ProbeResponse) []Action {
	g.now = now
	if a.Target == "" {
		return g.compared(a, answer)
	}
	reached := answer != nil && answer.Reached
	m := g.members[a.Target]
	if m == nil || !m.probing {
		return nil
	}
	if reached {
		m.probing = false
		if m.State == wire.Member_SUSPECT { // it refutes by itself; this only saves the time until then
			g.setState(m, wire.Member_ALIVE)
		}
		return nil
	}
	if a.Helper == "" {
		var out []Action
		for _, h := range g.drawHelpers(a.Target) {
			out = append(out, Action{Target: m.Name, Helper: h.Name, Address: h.Address,
				Probe: &wire.ProbeRequest{Target: m.Member, From: g.self, Updates: g.updates()}})
		}
		if m.asked = uint8(len(out)); m.asked > 0 {
			return out
		}
	} else if m.asked--; m.asked > 0 {
		return nil
	}
	m.probing = false
	if m.State == wire.Member_ALIVE {
		g.setState(m, wire.Member_SUSPECT)
	}
	return nil
}

// drawHelpers draws third parties.
func (g *Group) drawHelpers(but string) []*member {
	all := g.sorted()
	var list []*member
	for range 8 * indirectProbes { // enough, unless most are unreachable
		m := all[g.rng.IntN(len(all))]
		if m.Name != but && m.State == wire.Member_ALIVE && !slices.Contains(list, m) {
			if list = append(list, m); len(list) == indirectProbes {
				break
			}
		}
	}
	return list
}
