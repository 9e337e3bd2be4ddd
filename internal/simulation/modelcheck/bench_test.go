package modelcheck

import "testing"

// BenchmarkWalk measures a random history of 200 events.
func BenchmarkWalk(b *testing.B) {
	for i := range b.N {
		walk(uint64(i), 200)
	}
}

// BenchmarkSearch measures a search that stops after 20,000 states.
func BenchmarkSearch(b *testing.B) {
	for range b.N {
		if _, err := Search(SearchConfig{Bounds: Bounds{Members: 3, Terms: 3, Link: 1, Changes: 1, States: 20_000}}); err != nil {
			b.Fatal(err)
		}
	}
}
