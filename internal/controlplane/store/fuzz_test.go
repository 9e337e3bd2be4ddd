package store

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzRecovery truncates a file of the store at an offset, replaces its rest by 64 equal bytes, or flips bits of one byte.
// Open then returns a prefix of the synced entries, an empty store with a new identity, or an error.
func FuzzRecovery(f *testing.F) {
	origin := f.TempDir()
	s := open(f, origin)
	id := s.ID
	for i := uint64(1); i <= 12; i++ {
		if err := s.Save(Batch{Entries: entries(1, i, i)}); err != nil {
			f.Fatal(err)
		}
	}
	s.Close()
	names, err := filepath.Glob(filepath.Join(origin, "log", "*"))
	if err != nil || len(names) < 3 {
		f.Fatalf("want at least 3 files, got %v, %v", names, err)
	}
	f.Add(uint8(0), uint16(10), uint8(0), uint8(0))
	f.Add(uint8(1), uint16(3), uint8(1), uint8(0xff))
	f.Add(uint8(2), uint16(200), uint8(2), uint8(1))
	f.Fuzz(func(t *testing.T, file uint8, offset uint16, mode, value uint8) {
		dir := t.TempDir()
		if err := os.CopyFS(dir, os.DirFS(origin)); err != nil {
			t.Fatal(err)
		}
		name := filepath.Join(dir, "log", filepath.Base(names[int(file)%len(names)]))
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		i := int(offset) % (len(data) + 1)
		switch {
		case mode%3 == 0:
			data = data[:i]
		case mode%3 == 1:
			data = append(data[:i:i], bytes.Repeat([]byte{value}, 64)...)
		case i < len(data):
			data[i] ^= value
		}
		if err := os.WriteFile(name, data, 0o644); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, rand.New(rand.NewPCG(9, uint64(offset))))
		if err != nil {
			return // an error is a valid outcome: nothing is served
		}
		defer s.Close()
		if s.ID != id {
			if !s.Fresh || len(s.Entries) > 0 || s.HardState != nil {
				t.Errorf("store with a new identity is not empty: it has %d entries", len(s.Entries))
			}
			return
		}
		for n, e := range s.Entries {
			want := entries(1, uint64(n+1), uint64(n+1))[0]
			if !proto.Equal(e, want) {
				t.Errorf("entry %d is %v", n+1, e)
			}
		}
		if len(s.Entries) > 12 {
			t.Error(fmt.Sprint("more than the 12 saved entries: ", len(s.Entries)))
		}
	})
}
