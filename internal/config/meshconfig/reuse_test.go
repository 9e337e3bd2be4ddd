package meshconfig

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// encode encodes a configuration in MessagePack, as an operator sends it.
func encode(t testing.TB, c *Config) []byte {
	t.Helper()
	b, err := msgpack.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func randomRoute(rng *rand.Rand, i int) *Route {
	r := &Route{Name: fmt.Sprint("r", i), Host: fmt.Sprint("Host", i%4), Prefix: fmt.Sprintf("/%d/", i), Kind: NonIdempotent, TimeoutMs: float64(1 + rng.IntN(5)),
		Priority: rng.IntN(3), Backend: fmt.Sprint("s", rng.IntN(3))}
	if rng.IntN(4) == 0 {
		r.Backend, r.Backends = "", []Weighted{{Backend: "s0", Weight: rng.Float64()}, {Backend: "s1", Weight: 1}}
	}
	if rng.IntN(120) == 0 {
		r.TimeoutMs = 0 // invalid
	}
	return r
}

// edit returns a copy of c in which random routes, and sometimes the services, are added, removed, changed or moved.
func edit(rng *rand.Rand, c *Config) *Config {
	edited := &Config{Revision: c.Revision + 1, Limits: c.Limits, Backends: []Backend{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}}}
	if rng.IntN(10) == 0 {
		edited.Backends = edited.Backends[:2] // routes may name the removed service
	}
	edited.Routes = slices.Clone(c.Routes)
	for range rng.IntN(5) {
		r := randomRoute(rng, rng.IntN(60))
		index := 0
		if len(edited.Routes) > 0 {
			index = rng.IntN(len(edited.Routes))
		}
		switch i := slices.IndexFunc(edited.Routes, func(x *Route) bool { return x.Key() == r.Key() }); {
		case i >= 0 && rng.IntN(3) == 0:
			edited.Routes = slices.Delete(edited.Routes, i, i+1)
		case i >= 0:
			edited.Routes[i], edited.Routes[index] = edited.Routes[index], r
		case rng.IntN(40) == 0 && len(edited.Routes) > 0: // duplicate key
			edited.Routes = append(edited.Routes, edited.Routes[index])
		default:
			edited.Routes = slices.Insert(edited.Routes, index, r)
		}
	}
	return edited
}

// TestParseNext checks that ParseNext returns the same configuration or error as Parse, and shares routes with the
// same bytes.
func TestParseNext(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		current := &Config{}
		var base *Config
		shared, total := 0, 0
		for round := range 80 {
			next := edit(rng, current)
			body := encode(t, next)
			got, err := ParseNext(body, base)
			want, wantErr := Parse(body)
			if fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Fatalf("seed %d, round %d: ParseNext returned error %v, want %v as from Parse", seed, round, err, wantErr)
			}
			if err != nil {
				continue
			}
			if !reflect.DeepEqual(got.Routes, want.Routes) || !reflect.DeepEqual(got.Backends, want.Backends) || got.Limits != want.Limits || got.Revision != want.Revision {
				t.Fatalf("seed %d, round %d: ParseNext returned %+v, want %+v as from Parse", seed, round, got, want)
			}
			if got.index.Len() != len(got.Routes) {
				t.Fatalf("seed %d, round %d: the index has %d keys for %d routes", seed, round, got.index.Len(), len(got.Routes))
			}
			for _, r := range got.Routes {
				if got.Find(r.Host, r.Prefix+"x/y") != r {
					t.Fatalf("seed %d, round %d: Find does not return route %+v", seed, round, r)
				}
				total++
				if base != nil && slices.Contains(base.Routes, r) {
					shared++
				}
			}
			current, base = next, got
		}
		if shared*4 < total*3 {
			t.Errorf("seed %d: %d of %d routes are shared with the base, want at least 3/4", seed, shared, total)
		}
	}
}

// hasUniqueKeys reports whether no two routes have the same key.
func hasUniqueKeys(c *Config) bool {
	keys := map[Key]bool{}
	for _, r := range c.Routes {
		keys[r.Key()] = true
	}
	return len(keys) == len(c.Routes)
}

// TestPatchesCompose checks that a configuration patched with the difference to the next one equals the next one.
func TestPatchesCompose(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		current := &Config{}
		var patched *Config
		for round := range 80 {
			next := edit(rng, current)
			if !hasUniqueKeys(next) {
				continue
			}
			added, removed := Diff(current, next)
			p := Patch{Revision: next.Revision, Backends: next.Backends}
			replaced := map[Key]bool{}
			for _, r := range added {
				route := *r
				p.Routes = append(p.Routes, &route)
				replaced[r.Key()] = true
			}
			for _, r := range removed {
				if !replaced[r.Key()] {
					p.RemovedRoutes = append(p.RemovedRoutes, r.Key())
				}
			}
			for _, b := range current.Backends {
				if !slices.Contains(next.Backends, b) {
					p.RemovedBackends = append(p.RemovedBackends, b.Name)
				}
			}
			previous := patched
			patched = previous.Apply(p)
			current = next
			if len(patched.Routes) != len(current.Routes) || len(patched.Backends) != len(current.Backends) || patched.index.Len() != len(current.Routes) {
				t.Fatalf("seed %d, round %d: %d routes and %d services, want %d and %d", seed, round, len(patched.Routes), len(patched.Backends), len(current.Routes), len(current.Backends))
			}
			for _, r := range current.Routes {
				got := patched.Find(r.Host, r.Prefix)
				if got == nil || got.Key() != r.Key() || got.TimeoutMs != r.TimeoutMs || got.Backend != r.Backend || !slices.Contains(patched.Routes, got) {
					t.Fatalf("seed %d, round %d: Find returned %+v, want a route equal to %+v", seed, round, got, r)
				}
			}
		}
	}
}

// manyRoutes returns a configuration with the given number of routes, one of which depends on version.
func manyRoutes(routes, version int) *Config {
	c := &Config{Revision: uint64(version + 1), Backends: []Backend{{Name: "s"}}}
	for i := range routes {
		r := &Route{Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host%d.example", i%50), Prefix: fmt.Sprintf("/some/path%d/", i), Kind: Idempotent,
			TimeoutMs: 1000, TargetLatencyMs: 200, Priority: i % 3, Backend: "s", MaxAttempts: 2}
		if i == version%routes {
			r.TimeoutMs = float64(1001 + version)
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

// BenchmarkParse parses a body with one changed route, with and without a base.
func BenchmarkParse(b *testing.B) {
	for _, routes := range []int{10, 400, 2000} {
		bodies := [][]byte{encode(b, manyRoutes(routes, 1)), encode(b, manyRoutes(routes, 2))}
		b.Run(fmt.Sprint("alone/", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse(bodies[1]); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("next/", routes), func(b *testing.B) {
			base, err := Parse(bodies[0])
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseNext(bodies[1], base); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
