package modelcheck

import "testing"

// BenchmarkWalk is one random history of 200 events.
func BenchmarkWalk(b *testing.B) {
	for i := range b.N {
		walk(uint64(i), 200)
	}
}

// BenchmarkSearch is a search of some ten thousand states.
func BenchmarkSearch(b *testing.B) {
	for range b.N {
		if _, err := Search(Set{Bounds: Bounds{Members: 3, Terms: 3, Link: 1, Changes: 1, States: 20_000}}); err != nil {
			b.Fatal(err)
		}
	}
}
