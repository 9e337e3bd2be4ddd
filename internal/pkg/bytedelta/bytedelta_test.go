package bytedelta

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const maxSize = 1 << 20

// TestRandomEdits checks that deltas yield the target, and that their size is bounded by the inserted bytes and a constant per
// edit.
func TestRandomEdits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	random := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(rng.IntN(256))
		}
		return b
	}
	for round := range 400 {
		base := random(rng.IntN(20_000))
		target, bound := slices.Clone(base), 0
		for range rng.IntN(6) {
			offset := 0
			if len(target) > 0 {
				offset = rng.IntN(len(target))
			}
			switch rng.IntN(3) {
			case 0:
				inserted := random(rng.IntN(40))
				target = slices.Insert(target, offset, inserted...)
				bound += len(inserted)
			case 1:
				target = slices.Delete(target, offset, min(len(target), offset+rng.IntN(200)))
			default:
				inserted := random(min(20, len(target)-offset))
				copy(target[offset:], inserted)
				bound += len(inserted)
			}
			bound += 2*blockSize + minCopy + 24 // partial blocks at both ends, and the headers of two steps
		}
		delta := Encode(base, target)
		got, err := Apply(base, delta, maxSize)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("round %d: Apply returned a different target, or error %v", round, err)
		}
		if len(delta) > bound+16 {
			t.Fatalf("round %d: the delta has %d bytes, want at most 16 more than %d", round, len(delta), bound)
		}
	}
}

// TestSimilarRecords inserts, deletes, changes or moves one of many similar records, and checks that the delta copies the
// other records.
func TestSimilarRecords(t *testing.T) {
	record := func(i, value int) string {
		return fmt.Sprintf("name=record-%d,path=/some/place%d/,kind=the same for all of them,value=%08d,limit=100,weight=0;", i, i, value)
	}
	join := func(f func(list []string) []string) []byte {
		var list []string
		for i := range 400 {
			list = append(list, record(i, 7))
		}
		return []byte(strings.Join(f(list), ""))
	}
	base := join(func(list []string) []string { return list })
	for i := 0; i < 400; i += 7 {
		for name, target := range map[string][]byte{
			"changed":  join(func(list []string) []string { list[i] = record(i, 12345); return list }),
			"inserted": join(func(list []string) []string { return slices.Insert(list, i, record(9000, 3)) }),
			"deleted":  join(func(list []string) []string { return slices.Delete(list, i, i+1) }),
			"moved": join(func(list []string) []string {
				list[i], list[399-i] = list[399-i], list[i]
				return list
			}),
		} {
			delta := Encode(base, target)
			if got, err := Apply(base, delta, maxSize); err != nil || !bytes.Equal(got, target) {
				t.Fatalf("%s at %d: Apply returned a different target, or error %v", name, i, err)
			}
			if len(delta) > 300 {
				t.Errorf("%s at %d: the delta has %d bytes, want at most 300", name, i, len(delta))
			}
		}
	}
}

func TestMalformedDeltas(t *testing.T) {
	for _, delta := range [][]byte{{0x80}, {9}, {5, 200}, {2}, {3, 1, 0xff}, {0xff, 0xff, 0xff, 0xff, 0x0f, 0}, {9, 1}} {
		if got, err := Apply([]byte("base"), delta, 100); !errors.Is(err, ErrMalformed) {
			t.Errorf("delta %v: Apply returned %q, %v, want ErrMalformed", delta, got, err)
		}
	}
}

// FuzzDelta checks that Apply reverses Encode, and that arbitrary deltas yield no more than the maximum size.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("one two three four five six seven eight nine ten"), []byte("one two 3 four five six seven eight nine ten"), []byte{3, 0})
	f.Fuzz(func(t *testing.T, base, target, delta []byte) {
		if got, err := Apply(base, Encode(base, target), len(target)); err != nil || !bytes.Equal(got, target) {
			t.Errorf("delta from %q to %q: Apply returned %q, %v", base, target, got, err)
		}
		if got, err := Apply(base, delta, maxSize); err == nil && len(got) > maxSize {
			t.Errorf("Apply returned %d bytes, over the maximum", len(got))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	for _, size := range []int{80_000, 8_000_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			base := make([]byte, size)
			for i := range base {
				base[i] = byte(rng.IntN(64))
			}
			target := slices.Insert(slices.Clone(base), size/2, []byte("put in")...)
			for b.Loop() {
				Encode(base, target)
			}
		})
	}
}
