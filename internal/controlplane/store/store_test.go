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
		t.Fatalf("new store: fresh %v, identity %d; want true and not zero", s.Fresh, id)
	}
	save(t, s, Batch{HardState: &wire.HardState{Term: 2, Vote: 9}, Entries: entries(1, 1, 9)})
	save(t, s, Batch{Entries: entries(2, 5, 6)}) // replaces 5 to 9
	save(t, s, Batch{Departures: &wire.Departures{Departures: []*wire.Departure{{Member: "i", Phase: wire.Departure_DRAINING}}}})
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 1, Index: 3, Data: []byte("s")}})
	s.Close()
	s = open(t, dir)
	if s.Fresh || s.ID != id || s.HardState.GetVote() != 9 || s.Snapshot.GetIndex() != 3 {
		t.Fatalf("loaded store: %+v", s)
	}
	if len(s.Departures) != 1 || s.Departures[0].Member != "i" {
		t.Errorf("loaded departures are %v, want that of i", s.Departures)
	}
	if len(s.Entries) != 3 || s.Entries[0].Index != 4 || s.Entries[2].Index != 6 || s.Entries[2].Term != 2 {
		t.Fatalf("loaded entries are %v, want 4 to 6, the last one of term 2", s.Entries)
	}
	s.Close()
	if inspected, err := Inspect(dir); err != nil || inspected.ID != id || len(inspected.Entries) != 3 {
		t.Fatalf("Inspect: %+v, %v", inspected, err)
	}
	if _, err := Inspect(t.TempDir()); err == nil {
		t.Error("Inspect of an empty folder returned no error")
	}
	s = open(t, dir)
	s.Entries = nil
	save(t, s, Batch{ReplacesLog: true, Snapshot: &wire.RaftSnapshot{Term: 3, Index: 5, Data: []byte("t")}})
	s.Close()
	s = open(t, dir)
	defer s.Close()
	if s.Snapshot.Index != 5 || len(s.Entries) != 0 {
		t.Fatalf("entries after a leader's snapshot at index 5 replaced the log: %v, want none", s.Entries)
	}
}

// TestTruncatedFiles truncates each file of a store. The store then opens with a prefix of the synced entries, or it opens empty
// with a new identity and Damaged or Fresh set.
func TestTruncatedFiles(t *testing.T) {
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
	replaced, recovered := 0, 0
	for _, f := range files {
		data, err := os.ReadFile(filepath.Join(origin, "log", f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		for _, length := range []int{0, len(data) / 3, len(data) - 1} {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS(origin)); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, "log", f.Name()), data[:max(0, length)], 0o644); err != nil {
				t.Fatal(err)
			}
			s, err := Open(dir, rand.New(rand.NewPCG(5, 5)))
			if err != nil {
				t.Errorf("%s truncated to %d bytes: %v", f.Name(), length, err)
				continue
			}
			for i, e := range s.Entries {
				if e.Index != uint64(i+1) || string(e.Data) != "data" {
					t.Errorf("%s truncated to %d bytes: entry %v at position %d", f.Name(), length, e, i)
				}
			}
			if s.ID != id {
				replaced++
				if s.Damaged == nil && !s.Fresh {
					t.Errorf("%s truncated to %d bytes: new identity without Damaged or Fresh", f.Name(), length)
				}
			} else {
				recovered++
			}
			s.Close()
		}
	}
	if replaced == 0 || recovered == 0 {
		t.Errorf("%d stores replaced, %d recovered, want both: too few cases", replaced, recovered)
	}
}

func TestOpenBelowRegularFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x")
	os.WriteFile(file, nil, 0o644)
	if _, err := Open(file, rand.New(rand.NewPCG(1, 1))); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("Open below a regular file: %v, want an error of one line", err)
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

// TestFormats checks that a folder without checksums is upgraded with its content, that a folder of a later format is
// rejected, and that a record under another key, which the library's checksums accept, is detected.
func TestFormats(t *testing.T) {
	write := func(t *testing.T, records map[string][]byte) string {
		dir := t.TempDir()
		s := open(t, dir)
		batch := new(leveldb.Batch)
		for key, value := range records {
			if value == nil {
				batch.Delete([]byte(key))
			} else {
				batch.Put([]byte(key), value)
			}
		}
		if err := s.db.Write(batch, nil); err != nil {
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
	entry1, entry2 := entries(1, 1, 1)[0], entries(1, 2, 2)[0]
	firstFormat := write(t, map[string][]byte{
		string(keyFormat): nil, string(keyID): {0, 0, 0, 0, 0, 0, 0, 7}, string(keyHardState): marshal(&wire.HardState{Term: 3, Vote: 7}),
		string(entryKey(1)): marshal(entry1), string(entryKey(2)): marshal(entry2),
	})
	if s, err := Inspect(firstFormat); err != nil || s.ID != 7 || len(s.Entries) != 2 {
		t.Fatalf("Inspect before the upgrade: %v", err)
	}
	for range 2 { // the first open upgrades the folder
		s := open(t, firstFormat)
		if s.ID != 7 || s.Fresh || s.Damaged != nil || s.HardState.GetVote() != 7 || len(s.Entries) != 2 || s.noChecksums {
			t.Errorf("upgraded store: %+v", s)
		}
		s.Close()
	}
	newer := write(t, map[string][]byte{string(keyFormat): {0, 0, 0, 9}})
	if _, err := Open(newer, rand.New(rand.NewPCG(1, 1))); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("Open of a newer format: %v", err)
	}
	if _, err := Inspect(newer); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("Inspect of a newer format: %v", err)
	}
	moved := write(t, map[string][]byte{string(entryKey(1)): addChecksum(entryKey(2), marshal(entry1))})
	if s := open(t, moved); s.Damaged == nil || !s.Fresh {
		t.Error("record under another key was accepted")
	} else {
		s.Close()
	}
}

// TestRetainedTail checks that the requested entries before a snapshot survive a restart. Older entries, and entries that a
// leader's snapshot has replaced, are not loaded, even if they are still on disk.
func TestRetainedTail(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir)
	const total = 3 * maxObsoleteDeletes
	save(t, s, Batch{Entries: entries(1, 1, total)})
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 1, Index: total - 10}, First: total - 30})
	reopen := func(first, tail, after int) {
		t.Helper()
		s.Close()
		s = open(t, dir)
		if len(s.Tail) != tail || len(s.Entries) != after || tail > 0 && s.Tail[0].Index != uint64(first) {
			t.Fatalf("%d entries in the tail and %d after the snapshot, want %d from %d on and %d", len(s.Tail), len(s.Entries), tail, first, after)
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
	if n := stored(); n != total-maxObsoleteDeletes {
		t.Errorf("%d of %d entries are stored after one Save", n, total)
	}
	reopen(maxObsoleteDeletes+1, total-10-maxObsoleteDeletes, 10) // the tail includes obsolete entries until they are deleted
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 1, Index: total - 5}, First: total - 30})
	save(t, s, Batch{HardState: &wire.HardState{Term: 2}})
	save(t, s, Batch{HardState: &wire.HardState{Term: 3}})
	if n := stored(); n != 31 {
		t.Errorf("%d entries are stored in the end, want 31", n)
	}
	reopen(total-30, 26, 5)
	save(t, s, Batch{ReplacesLog: true, Snapshot: &wire.RaftSnapshot{Term: 3, Index: total + 100}})
	reopen(0, 0, 0)
	save(t, s, Batch{Entries: entries(3, total+101, total+102)})
	reopen(0, 0, 2)
	save(t, s, Batch{Snapshot: &wire.RaftSnapshot{Term: 3, Index: total + 102}, First: total + 101})
	reopen(total+101, 2, 0)
	s.Close()
}

// TestPowerLossDuringReplacement simulates a power loss between the renaming of a corrupted folder and the sync of its
// replacement. The empty folder must not pass for one of a new member.
func TestPowerLossDuringReplacement(t *testing.T) {
	dir := t.TempDir()
	open(t, dir).Close()
	if err := os.Rename(filepath.Join(dir, "log"), filepath.Join(dir, "log.damaged")); err != nil {
		t.Fatal(err)
	}
	s := open(t, dir)
	defer s.Close()
	if s.Damaged == nil || !s.Fresh {
		t.Errorf("damaged: %v, fresh: %v; want an error and true", s.Damaged, s.Fresh)
	}
}

// TestInvalidCurrentFile checks that a folder is corrupted if CURRENT is missing, incomplete or refers to a missing
// manifest, even if older manifests or a backup of CURRENT exist.
func TestInvalidCurrentFile(t *testing.T) {
	for name, damage := range map[string]func(dir string) error{
		"CURRENT missing": func(dir string) error { return os.Remove(filepath.Join(dir, currentName)) },
		"CURRENT refers to a missing manifest": func(dir string) error {
			return os.WriteFile(filepath.Join(dir, currentName), []byte("MANIFEST-000999\n"), 0o644)
		},
		"CURRENT incomplete": func(dir string) error {
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
