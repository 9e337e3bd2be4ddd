package store

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/util"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

func open(t testing.TB, dir string) *Store {
	t.Helper()
	s, err := Open(dir, rand.New(rand.NewPCG(1, uint64(len(dir)))))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func entries(term uint64, from, to uint64) (list []*wire.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, &wire.Entry{Term: term, Index: i, Data: []byte("data")})
	}
	return list
}

func save(t *testing.T, s *Store, b Batch) {
	t.Helper()
	if err := s.Save(b); err != nil {
		t.Fatal(err)
	}
}

func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	id := s.ID
	if !s.Fresh || id == 0 {
		t.Fatalf("fresh %v, identity %d", s.Fresh, id)
	}
	save(t, s, Batch{HardState: &wire.HardState{Term: 2, Vote: 9}, Entries: entries(1, 1, 9)})
	save(t, s, Batch{Entries: entries(2, 5, 6)}) // replaces 5 to 9
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 1, Index: 3, Data: []byte("s")}})
	s.Close()
	s = open(t, dir)
	if s.Fresh || s.ID != id || s.HardState.GetVote() != 9 || s.Snapshot.GetIndex() != 3 {
		t.Fatalf("%+v", s)
	}
	if len(s.Entries) != 3 || s.Entries[0].Index != 4 || s.Entries[2].Index != 6 || s.Entries[2].Term != 2 {
		t.Fatalf("%v", s.Entries)
	}
	s.Close()
	if seen, err := Inspect(dir); err != nil || seen.ID != id || len(seen.Entries) != 3 {
		t.Fatalf("inspected: %+v, %v", seen, err)
	}
	if _, err := Inspect(t.TempDir()); err == nil {
		t.Error("an empty folder was inspected")
	}
	s = open(t, dir)
	s.Entries = nil
	save(t, s, Batch{ReplacesLog: true, Snapshot: &wire.RaftSnapshot{Term: 3, Index: 5, Data: []byte("t")}})
	s.Close()
	s = open(t, dir)
	defer s.Close()
	if s.Snapshot.Index != 5 || len(s.Entries) != 0 {
		t.Fatalf("a leader's snapshot left %v", s.Entries)
	}
}

// TestTornFiles cuts or fills the files of a store in every way that a loss of
// power may, and some more: it opens with a prefix of what was synced, or begins
// anew under another identity and says so. It never shows anything else.
func TestTornFiles(t *testing.T) {
	origin := t.TempDir()
	s := open(t, origin)
	id := s.ID
	for i := uint64(1); i <= 40; i++ {
		save(t, s, Batch{Entries: entries(1, i, i)})
	}
	s.Close()
	files, err := os.ReadDir(filepath.Join(origin, "log"))
	if err != nil {
		t.Fatal(err)
	}
	anew, kept := 0, 0
	for _, f := range files {
		whole, err := os.ReadFile(filepath.Join(origin, "log", f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range []int{0, len(whole) / 3, len(whole) - 1} {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS(origin)); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, "log", f.Name()), whole[:max(0, part)], 0o644); err != nil {
				t.Fatal(err)
			}
			s, err := Open(dir, rand.New(rand.NewPCG(5, 5)))
			if err != nil {
				t.Errorf("%s cut to %d: %v", f.Name(), part, err)
				continue
			}
			for i, e := range s.Entries {
				if e.Index != uint64(i+1) || string(e.Data) != "data" {
					t.Errorf("%s cut to %d: entry %v at %d", f.Name(), part, e, i)
				}
			}
			if s.ID != id {
				anew++
				if s.Damaged == nil && !s.Fresh {
					t.Errorf("%s cut to %d: another identity without a word", f.Name(), part)
				}
			} else {
				kept++
			}
			s.Close()
		}
	}
	if anew == 0 || kept == 0 {
		t.Errorf("%d begun anew, %d kept: hardly a test", anew, kept)
	}
}

func TestSecondFolderIsAFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x")
	os.WriteFile(file, nil, 0o644)
	if _, err := Open(file, rand.New(rand.NewPCG(1, 1))); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}

func BenchmarkAppend(b *testing.B) {
	s := open(b, b.TempDir())
	defer s.Close()
	i := uint64(0)
	for b.Loop() {
		i++
		if err := s.Save(Batch{Entries: entries(1, i, i)}); err != nil {
			b.Fatal(err)
		}
	}
}

// TestFormats: a folder of the first format, which had no seals, is brought up and holds what it held; one of a later
// format is left as it is; a record in another's place, which the library takes for good, is found.
func TestFormats(t *testing.T) {
	write := func(t *testing.T, records map[string][]byte) string {
		dir := t.TempDir()
		s := open(t, dir)
		w := new(leveldb.Batch)
		for key, value := range records {
			if value == nil {
				w.Delete([]byte(key))
			} else {
				w.Put([]byte(key), value)
			}
		}
		if err := s.db.Write(w, nil); err != nil {
			t.Fatal(err)
		}
		s.Close()
		return dir
	}
	marshal := func(m proto.Message) []byte {
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	one, two := entries(1, 1, 1)[0], entries(1, 2, 2)[0]
	first := write(t, map[string][]byte{
		string(keyFormat): nil, string(keyID): {0, 0, 0, 0, 0, 0, 0, 7}, string(keyHardState): marshal(&wire.HardState{Term: 3, Vote: 7}),
		string(entryKey(1)): marshal(one), string(entryKey(2)): marshal(two),
	})
	if s, err := Inspect(first); err != nil || s.ID != 7 || len(s.Entries) != 2 {
		t.Fatalf("inspected: %v", err)
	}
	for range 2 { // brought up, and as it is from then on
		s := open(t, first)
		if s.ID != 7 || s.Fresh || s.Damaged != nil || s.HardState.GetVote() != 7 || len(s.Entries) != 2 || s.unsealed {
			t.Errorf("%+v", s)
		}
		s.Close()
	}
	newer := write(t, map[string][]byte{string(keyFormat): {0, 0, 0, 9}})
	if _, err := Open(newer, rand.New(rand.NewPCG(1, 1))); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a newer format: %v", err)
	}
	if _, err := Inspect(newer); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("a newer format, inspected: %v", err)
	}
	moved := write(t, map[string][]byte{string(entryKey(1)): seal(entryKey(2), marshal(one))})
	if s := open(t, moved); s.Damaged == nil || !s.Fresh {
		t.Error("a record in another's place passes")
	} else {
		s.Close()
	}
}

// TestTailIsKept: entries in front of a snapshot stay as far as they are asked for, over a restart; what is older, and
// what a leader's snapshot has replaced, does not come back, whether it is still on disk or not.
func TestTailIsKept(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	const many = 3 * maxObsoleteDeletes
	save(t, s, Batch{Entries: entries(1, 1, many)})
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 1, Index: many - 10}, First: many - 30})
	reopen := func(first, tail, behind int) {
		t.Helper()
		s.Close()
		s = open(t, dir)
		if len(s.Tail) != tail || len(s.Entries) != behind || tail > 0 && s.Tail[0].Index != uint64(first) {
			t.Fatalf("%d entries in the tail and %d behind the snapshot, want %d from %d on and %d", len(s.Tail), len(s.Entries), tail, first, behind)
		}
	}
	stored := func() (n int) {
		it := s.db.NewIterator(util.BytesPrefix([]byte{entryPrefix}), nil)
		defer it.Release()
		for it.Next() {
			n++
		}
		return n
	}
	if n := stored(); n != many-maxObsoleteDeletes {
		t.Errorf("%d entries are left after one Save of %d", n, many)
	}
	reopen(maxObsoleteDeletes+1, many-10-maxObsoleteDeletes, 10) // what is not yet removed is as good as ever
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 1, Index: many - 5}, First: many - 30})
	save(t, s, Batch{HardState: &wire.HardState{Term: 2}})
	save(t, s, Batch{HardState: &wire.HardState{Term: 3}})
	if n := stored(); n != 31 {
		t.Errorf("%d entries are left in the end", n)
	}
	reopen(many-30, 26, 5)
	save(t, s, Batch{ReplacesLog: true, Snapshot: &wire.RaftSnapshot{Term: 3, Index: many + 100}})
	reopen(0, 0, 0)
	save(t, s, Batch{Entries: entries(3, many+101, many+102)})
	reopen(0, 0, 2)
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 3, Index: many + 102}, First: many + 101})
	reopen(many+101, 2, 0)
	s.Close()
}

// TestDamagedFolderIsRemembered: the power went after a damaged folder was put aside and before the next was there for
// good. What is found then is not taken for a folder that never held anything.
func TestDamagedFolderIsRemembered(t *testing.T) {
	dir := t.TempDir()
	open(t, dir).Close()
	if err := os.Rename(filepath.Join(dir, "log"), filepath.Join(dir, "log.damaged")); err != nil {
		t.Fatal(err)
	}
	s := open(t, dir)
	defer s.Close()
	if s.Damaged == nil || !s.Fresh {
		t.Errorf("damaged: %v, fresh: %v", s.Damaged, s.Fresh)
	}
}

// TestManifestsAreNotGuessed: a folder whose manifest in force is gone, or not named, is damaged; a manifest that an
// earlier opening has left is no way out.
func TestManifestsAreNotGuessed(t *testing.T) {
	for name, damage := range map[string]func(dir string) error{
		"nothing is named": func(dir string) error { return os.Remove(filepath.Join(dir, currentName)) },
		"a lost manifest is named": func(dir string) error {
			return os.WriteFile(filepath.Join(dir, currentName), []byte("MANIFEST-000999\n"), 0o644)
		},
		"half a name": func(dir string) error {
			return os.WriteFile(filepath.Join(dir, currentName), []byte("MANIFEST-0000"), 0o644)
		},
	} {
		dir := t.TempDir()
		s := open(t, dir)
		save(t, s, Batch{Entries: entries(1, 1, 9)})
		s.Close()
		backup, err := os.ReadFile(filepath.Join(dir, "log", currentName))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "log", "CURRENT.bak"), backup, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := damage(filepath.Join(dir, "log")); err != nil {
			t.Fatal(err)
		}
		s = open(t, dir)
		if s.Damaged == nil || !s.Fresh || len(s.Entries) > 0 {
			t.Errorf("%s: damaged %v, %d entries", name, s.Damaged, len(s.Entries))
		}
		s.Close()
	}
}
