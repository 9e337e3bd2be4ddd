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

// FuzzRecovery damages a store's files at a place: cuts one off there, fills it,
// or turns a byte. It opens with a prefix of what was synced, or begins anew under
// another identity and says so.
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
		f.Fatalf("%v, %v", names, err)
	}
	f.Add(uint8(0), uint16(10), uint8(0), uint8(0))
	f.Add(uint8(1), uint16(3), uint8(1), uint8(0xff))
	f.Add(uint8(2), uint16(200), uint8(2), uint8(1))
	f.Fuzz(func(t *testing.T, which uint8, at uint16, how, with uint8) {
		dir := t.TempDir()
		if err := os.CopyFS(dir, os.DirFS(origin)); err != nil {
			t.Fatal(err)
		}
		name := filepath.Join(dir, "log", filepath.Base(names[int(which)%len(names)]))
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		i := int(at) % (len(data) + 1)
		switch {
		case how%3 == 0:
			data = data[:i]
		case how%3 == 1:
			data = append(data[:i:i], bytes.Repeat([]byte{with}, 64)...)
		case i < len(data):
			data[i] ^= with
		}
		if err := os.WriteFile(name, data, 0o644); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, rand.New(rand.NewPCG(9, uint64(at))))
		if err != nil {
			return // it says so, and serves nothing
		}
		defer s.Close()
		if s.ID != id {
			if !s.Fresh || len(s.Entries) > 0 || s.HardState != nil {
				t.Errorf("another identity came with %d entries", len(s.Entries))
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
			t.Error(fmt.Sprint("more than was ever written: ", len(s.Entries)))
		}
	})
}
