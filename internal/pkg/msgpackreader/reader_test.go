package msgpackreader

import (
	"bytes"
	"encoding/hex"
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// record has a field of each type that the reader reads.
type record struct {
	Text  string
	Int   int64
	Uint  uint64
	Float float64
	Bool  bool
}

var recordFields = []string{"Text", "Int", "Uint", "Float", "Bool"}

func readRecord(r *Reader) (rec record, err error) {
	err = r.Struct(recordFields, func(field int) (err error) {
		switch recordFields[field] {
		case "Text":
			rec.Text, err = r.String()
		case "Int":
			rec.Int, err = r.Int()
		case "Uint":
			rec.Uint, err = r.Uint()
		case "Float":
			rec.Float, err = r.Float()
		case "Bool":
			rec.Bool, err = r.Bool()
		}
		return err
	})
	return rec, err
}

// sampleValues returns encodings of values of all types, with headers of all sizes.
func sampleValues(t *testing.T) (encoded [][]byte) {
	for _, value := range []any{
		nil, true, false, 7, -7, int8(-3), int16(-300), int32(-70_000), int64(math.MinInt64), uint8(200), uint16(60_000), uint32(4e9), uint64(math.MaxUint64),
		float32(0.1), 0.1, math.Inf(1), "", "text", strings.Repeat("x", 40), strings.Repeat("x", 300), []byte("binary"), bytes.Repeat([]byte("y"), 300), bytes.Repeat([]byte("y"), 70_000),
		[]any{}, []any{1, []any{"a"}}, make([]any, 20), make([]any, 70_000), map[string]any{}, map[string]any{"a": map[string]any{"b": 1.5}},
	} {
		b, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, b)
	}
	return encoded
}

// TestStructEqualsLibrary checks that Struct accepts the same encodings as the library that encodes messages, with equal
// results.
func TestStructEqualsLibrary(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	accepted, values := 0, sampleValues(t)
	for range 10_000 {
		encoded := []byte{0x80}
		names := append([]string{"unknown"}, recordFields...)
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		names = names[:rng.IntN(len(names)+1)]
		encoded[0] |= byte(len(names))
		asArray := rng.IntN(8) == 0
		if asArray {
			encoded[0] = 0x90 | byte(len(names))
		}
		for _, name := range names {
			if !asArray {
				key, err := msgpack.Marshal(name)
				if err != nil {
					t.Fatal(err)
				}
				encoded = append(encoded, key...)
			}
			encoded = append(encoded, values[rng.IntN(len(values))]...)
		}
		encoded = encoded[:len(encoded)-rng.IntN(2)*rng.IntN(len(encoded))]
		var want record
		wantErr := msgpack.Unmarshal(encoded, &want)
		got, err := readRecord(New(encoded))
		if (err == nil) != (wantErr == nil) || err == nil && got != want {
			t.Fatalf("%.200s: %+v, error %v; the library: %+v, error %v", hex.EncodeToString(encoded), got, err, want, wantErr)
		}
		if err == nil {
			accepted++
		}
	}
	if accepted < 500 {
		t.Errorf("%d of the random structs were accepted, want at least 500", accepted)
	}
}

// TestDepthLimit checks the bound on the depth of arrays, maps and keys, and that skipping takes no memory per level.
func TestDepthLimit(t *testing.T) {
	for _, level := range []string{"\x91", "\x81\xa0", "\x92\x01", "\xdd\x00\x00\x00\x01"} {
		for depth, want := range map[int]error{MaxDepth: nil, MaxDepth + 1: ErrTooDeep} {
			data := []byte(strings.Repeat(level, depth) + "\xc0")
			if err := New(data).Skip(); !errors.Is(err, want) {
				t.Errorf("%d levels of %x: error %v, want %v", depth, level, err, want)
			}
		}
		data := []byte(strings.Repeat(level, 1_000_000) + "\xc0")
		allocations := testing.AllocsPerRun(1, func() {
			r := NewUnlimited(data)
			if err := r.Skip(); err != nil || r.Remaining() != 0 {
				t.Errorf("without a limit: error %v, %d bytes left", err, r.Remaining())
			}
		})
		if allocations > 1 { // the reader
			t.Errorf("skipping took %g allocations, want 1", allocations)
		}
	}
}

// FuzzSkip checks that Skip and NextSize agree with the library on the end of a value.
func FuzzSkip(f *testing.F) {
	for _, seed := range []string{"\x80", "\x93\x01\xa1x\xc0", "\x82\xa1a\x91\x90\xa1b\xcb12345678", "\xdd\xff\xff\xff\xff", "\xc9\x00\x00\x00\x02\x01ab", "\xd8\x01", "\xc1"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		wantErr := msgpack.NewDecoder(source).Skip()
		r := New(data)
		size, err := r.NextSize()
		if (err == nil) != (wantErr == nil) || err == nil && size != len(data)-source.Len() {
			t.Fatalf("NextSize: %d bytes, error %v; the library: %d bytes, error %v", size, err, len(data)-source.Len(), wantErr)
		}
		switch err := r.Skip(); {
		case errors.Is(err, ErrTooDeep):
		case (err == nil) != (wantErr == nil) || err == nil && r.Offset() != size:
			t.Fatalf("Skip: %d bytes, error %v; NextSize: %d bytes; the library: error %v", r.Offset(), err, size, wantErr)
		}
	})
}
