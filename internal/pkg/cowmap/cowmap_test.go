package cowmap

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

func content(m Map[int]) map[string]int {
	values := map[string]int{}
	m.Each(func(key string, value int) { values[key] = value })
	return values
}

// TestVersions checks against a plain map that random edits take effect, that they do not modify old versions, and that Compare
// reports all changes without visiting shared shards.
func TestVersions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var current Map[int]
	plain := map[string]int{}
	for round := range 300 {
		old, plainBefore := current, maps.Clone(plain)
		e := current.Edit()
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
		current = e.Map()
		if !maps.Equal(content(current), plain) || current.Len() != len(plain) || !maps.Equal(content(old), plainBefore) {
			t.Fatalf("round %d: wrong content, or the old version changed: %d keys, want %d", round, current.Len(), len(plain))
		}
		compared, visited := maps.Clone(plainBefore), 0
		Compare(old, current, func(c Change[int]) {
			visited++
			if oldValue, inOld := plainBefore[c.Key]; inOld != c.InOld || inOld && oldValue != c.Old {
				t.Errorf("key %s: the old value is %v (present: %v), Compare reported %+v", c.Key, oldValue, inOld, c)
			}
			if c.InNew {
				compared[c.Key] = c.New
			} else {
				delete(compared, c.Key)
			}
		})
		if !maps.Equal(compared, plain) || visited > 6*8 {
			t.Fatalf("round %d: Compare visited %d keys, and its changes yield %d keys", round, visited, len(compared))
		}
	}
	for key, value := range plain {
		if got, ok := current.GetBytes([]byte(key)); !ok || got != value {
			t.Errorf("GetBytes of %s returned %d, %v", key, got, ok)
		}
	}
}
