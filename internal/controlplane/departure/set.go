package departure

import (
	"slices"

	"ivydeck/internal/transport/wire"
)

// Set holds the latest phase of each departure. The zero value is empty.
type Set struct {
	departures []*wire.Departure // in the order in which the servers were added; never modified in place
	positions  map[string]int    // indexes into departures, by server
}

// NewSet returns a set that contains the departures.
func NewSet(departures []*wire.Departure) *Set {
	s := new(Set)
	for _, d := range departures {
		s.Add(d)
	}
	return s
}

// Len returns the number of servers.
func (s *Set) Len() int { return len(s.departures) }

// Phase returns the phase of a server's departure.
func (s *Set) Phase(member string) wire.Departure_Phase {
	if i, found := s.positions[member]; found {
		return s.departures[i].Phase
	}
	return wire.Departure_NONE
}

// Contains reports whether the set has the departure or a later phase of it.
func (s *Set) Contains(d *wire.Departure) bool { return s.Phase(d.GetMember()) >= d.GetPhase() }

// Add adds a departure, and reports whether it changed the set. A phase never replaces a later one.
func (s *Set) Add(d *wire.Departure) bool {
	if s.Contains(d) {
		return false
	}
	added := &wire.Departure{Member: d.Member, Phase: d.Phase}
	if i, found := s.positions[d.Member]; found {
		s.departures[i] = added
		return true
	}
	if s.positions == nil {
		s.positions = map[string]int{}
	}
	s.positions[d.Member] = len(s.departures)
	s.departures = append(s.departures, added)
	return true
}

// Filter removes the departures for which keep returns false.
func (s *Set) Filter(keep func(*wire.Departure) bool) {
	s.departures = slices.DeleteFunc(slices.Clone(s.departures), func(d *wire.Departure) bool { return !keep(d) })
	s.index()
}

// DropOldest removes the n servers that were added first.
func (s *Set) DropOldest(n int) {
	s.departures = slices.Clone(s.departures[n:])
	s.index()
}

func (s *Set) index() {
	s.positions = make(map[string]int, len(s.departures))
	for i, d := range s.departures {
		s.positions[d.Member] = i
	}
}

// All returns the departures in the order in which their servers were added. The caller owns the slice, and must not modify
// the departures.
func (s *Set) All() []*wire.Departure { return slices.Clone(s.departures) }
