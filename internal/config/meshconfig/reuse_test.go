package meshconfig

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// encode returns a configuration as an operator sends it.
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
		r.TimeoutMs = 0 // a fault
	}
	return r
}

// edit changes a configuration as operators do: routes come, go, change and move, and at times the services.
func edit(rng *rand.Rand, c *Config) *Config {
	now := &Config{Revision: c.Revision + 1, Limits: c.Limits, Backends: []Backend{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}}}
	if rng.IntN(10) == 0 {
		now.Backends = now.Backends[:2] // routes may go to what is gone
	}
	now.Routes = slices.Clone(c.Routes)
	for range rng.IntN(5) {
		r := randomRoute(rng, rng.IntN(60))
		at := 0
		if len(now.Routes) > 0 {
			at = rng.IntN(len(now.Routes))
		}
		switch i := slices.IndexFunc(now.Routes, func(x *Route) bool { return x.Key() == r.Key() }); {
		case i >= 0 && rng.IntN(3) == 0:
			now.Routes = slices.Delete(now.Routes, i, i+1)
		case i >= 0:
			now.Routes[i], now.Routes[at] = now.Routes[at], r
		case rng.IntN(40) == 0 && len(now.Routes) > 0: // a place is taken twice
			now.Routes = append(now.Routes, now.Routes[at])
		default:
			now.Routes = slices.Insert(now.Routes, at, r)
		}
	}
	return now
}

// TestReuseChangesNothing: what is parsed on top of another configuration is what is parsed alone, faults and all, and
// routes with the same bytes are shared.
func TestReuseChangesNothing(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		operators := &Config{}
		var base *Config
		shared, all := 0, 0
		for round := range 80 {
			next := edit(rng, operators)
			body := encode(t, next)
			got, err := ParseNext(body, base)
			want, wantErr := Parse(body)
			if fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Fatalf("seed %d, round %d: %v, want %v", seed, round, err, wantErr)
			}
			if err != nil {
				continue
			}
			if !reflect.DeepEqual(got.Routes, want.Routes) || !reflect.DeepEqual(got.Backends, want.Backends) || got.Limits != want.Limits || got.Revision != want.Revision {
				t.Fatalf("seed %d, round %d: %+v, want %+v", seed, round, got, want)
			}
			if got.index.Len() != len(got.Routes) {
				t.Fatalf("seed %d, round %d: %d places for %d routes", seed, round, got.index.Len(), len(got.Routes))
			}
			for _, r := range got.Routes {
				if got.Find(r.Host, r.Prefix+"x/y") != r {
					t.Fatalf("seed %d, round %d: %+v is not found", seed, round, r)
				}
				all++
				if base != nil && slices.Contains(base.Routes, r) {
					shared++
				}
			}
			operators, base = next, got
		}
		if shared*4 < all*3 {
			t.Errorf("seed %d: %d of %d routes are shared", seed, shared, all)
		}
	}
}

// distinct reports whether no place is taken twice.
func distinct(c *Config) bool {
	places := map[Key]bool{}
	for _, r := range c.Routes {
		places[r.Key()] = true
	}
	return len(places) == len(c.Routes)
}

// TestPatchesCompose: a configuration that is patched by what differs says what the next one says.
func TestPatchesCompose(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		now := &Config{}
		var patched *Config
		for round := range 80 {
			next := edit(rng, now)
			if !distinct(next) {
				continue
			}
			added, removed := Diff(now, next)
			p := Patch{Revision: next.Revision, Backends: next.Backends}
			there := map[Key]bool{}
			for _, r := range added {
				again := *r
				p.Routes = append(p.Routes, &again)
				there[r.Key()] = true
			}
			for _, r := range removed {
				if !there[r.Key()] {
					p.RemovedRoutes = append(p.RemovedRoutes, r.Key())
				}
			}
			for _, b := range now.Backends {
				if !slices.Contains(next.Backends, b) {
					p.RemovedBackends = append(p.RemovedBackends, b.Name)
				}
			}
			before := patched
			patched = before.Apply(p)
			now = next
			if len(patched.Routes) != len(now.Routes) || len(patched.Backends) != len(now.Backends) || patched.index.Len() != len(now.Routes) {
				t.Fatalf("seed %d, round %d: %d routes and %d services, want %d and %d", seed, round, len(patched.Routes), len(patched.Backends), len(now.Routes), len(now.Backends))
			}
			for _, r := range now.Routes {
				got := patched.Find(r.Host, r.Prefix)
				if got == nil || got.Key() != r.Key() || got.TimeoutMs != r.TimeoutMs || got.Backend != r.Backend || !slices.Contains(patched.Routes, got) {
					t.Fatalf("seed %d, round %d: %+v, want %+v", seed, round, got, r)
				}
			}
		}
	}
}

// manyRoutes is a configuration of some size, with one route changed.
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

// BenchmarkParse measures a body with one route changed, alone and on top of the one before.
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
