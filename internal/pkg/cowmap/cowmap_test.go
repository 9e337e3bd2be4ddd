package cowmap

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

func content(m Map[int]) map[string]int {
	all := map[string]int{}
	m.Each(func(key string, value int) { all[key] = value })
	return all
}

// TestVersions: random edits give what a plain map gives, old versions stay, and a comparison leads from one to the other.
func TestVersions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var now Map[int]
	plain := map[string]int{}
	for round := range 300 {
		old, before := now, maps.Clone(plain)
		e := now.Edit()
		for range rng.IntN(6) {
			key := fmt.Sprint(rng.IntN(400))
			if rng.IntN(3) == 0 {
				e.Delete(key)
				delete(plain, key)
			} else {
				e.Set(key, round)
				plain[key] = round
			}
		}
		now = e.Map()
		if !maps.Equal(content(now), plain) || now.Len() != len(plain) || !maps.Equal(content(old), before) {
			t.Fatalf("round %d: %d keys, want %d", round, now.Len(), len(plain))
		}
		compared, visited := maps.Clone(before), 0
		Compare(old, now, func(c Change[int]) {
			visited++
			if was, had := before[c.Key]; had != c.Had || had && was != c.Old {
				t.Errorf("%s was %v %v, not %+v", c.Key, was, had, c)
			}
			if c.Has {
				compared[c.Key] = c.New
			} else {
				delete(compared, c.Key)
			}
		})
		if !maps.Equal(compared, plain) || visited > 6*8 {
			t.Fatalf("round %d: the comparison looked at %d keys and leads to %d", round, visited, len(compared))
		}
	}
	for key, value := range plain {
		if got, ok := now.GetBytes([]byte(key)); !ok || got != value {
			t.Errorf("%s is %d, %v", key, got, ok)
		}
	}
}
