package backup

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/config/meshconfig"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// newStoreDir returns a member's folder whose log holds a server and the given number of successive configurations.
func newStoreDir(t *testing.T, revisions uint64) string {
	t.Helper()
	dir := t.TempDir()
	member, err := store.Open(dir, rng())
	if err != nil {
		t.Fatal(err)
	}
	defer member.Close()
	commands := []*wire.Command{{Change: &wire.Command_Server{Server: &wire.Server{Member: "i-1", Service: "s", Node: "n"}}}}
	for revision := range revisions {
		body, err := msgpack.Marshal(&meshconfig.Config{Revision: revision + 1, Backends: []meshconfig.Backend{{Name: "s"}}})
		if err != nil {
			t.Fatal(err)
		}
		commands = append(commands, &wire.Command{Change: &wire.Command_Config{Config: &wire.PutConfig{Base: revision, Body: body}}})
	}
	var entries []*wire.Entry
	for i, command := range commands {
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, &wire.Entry{Term: 3, Index: uint64(i + 1), Data: data})
	}
	if err := member.Save(store.Batch{HardState: &wire.HardState{Term: 3}, Entries: entries}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestRoundTrip checks that a backup of a folder survives saving, loading and restoring, that Loss reports newer entries, and
// that Save and Restore overwrite nothing.
func TestRoundTrip(t *testing.T) {
	dir := newStoreDir(t, 4)
	b, afterSnapshot, err := OfStore(dir)
	if err != nil || afterSnapshot != 5 || b.State.Revision() != 4 || b.Index != 5 {
		t.Fatalf("OfStore returned %+v, %d commands after the snapshot, error %v; want revision 4, index 5, 5 commands", b, afterSnapshot, err)
	}
	file := filepath.Join(t.TempDir(), "b")
	if err := b.Save(file); err != nil {
		t.Fatal(err)
	}
	if err := b.Save(file); err == nil {
		t.Error("Save overwrote a file")
	}
	loaded, err := Load(file)
	if err != nil || loaded.Summary() != b.Summary() {
		t.Fatalf("loaded backup: %v, %v", loaded, err)
	}
	restoredDir := filepath.Join(t.TempDir(), "new")
	if err := loaded.Restore(restoredDir, "1.2.3.4:5", "1.2.3.4:6", rng()); err != nil {
		t.Fatal(err)
	}
	inspected, err := store.Inspect(restoredDir)
	if err != nil {
		t.Fatal(err)
	}
	peers := inspected.Snapshot.GetPeers().GetPeers()
	if len(peers) != 1 || peers[0].Id != inspected.ID || !peers[0].Voter || peers[0].Address != "1.2.3.4:5" || inspected.HardState.GetTerm() <= b.Term || inspected.Snapshot.Index <= b.Index {
		t.Errorf("restored store has members %v, term %d, index %d; want only itself as a voter at 1.2.3.4:5, and a higher term and index than the backup", peers, inspected.HardState.GetTerm(), inspected.Snapshot.Index)
	}
	restored, _, err := OfStore(restoredDir)
	if err != nil || restored.State.Revision() != 4 || len(restored.State.Servers()) != 1 || restored.State.Servers()[0].Member != "i-1" || restored.State.Index() <= b.State.Index() {
		t.Errorf("backup of the restored folder: %+v, error %v; want revision 4, server i-1 and a higher index than the original", restored, err)
	}
	if err := loaded.Restore(restoredDir, "a", "b", rng()); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("Restore into a folder that is not empty: %v", err)
	}
	if err := loaded.Restore(t.TempDir(), "", "b", rng()); err == nil {
		t.Error("Restore without an address returned no error")
	}
	for revisions, lost := range map[uint64]bool{3: false, 4: false, 6: true} {
		loss, err := b.Loss(newStoreDir(t, revisions))
		if err != nil || (loss != "") != lost || lost && !strings.Contains(loss, "2 entries more") {
			t.Errorf("Loss with a folder of revision %d: %q, %v", revisions, loss, err)
		}
	}
}

// TestDamagedFiles checks that Decode rejects truncated data, any byte with a flipped bit, and newer formats.
func TestDamagedFiles(t *testing.T) {
	b, _, err := OfStore(newStoreDir(t, 2))
	if err != nil {
		t.Fatal(err)
	}
	data, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		corrupted := bytes.Clone(data)
		corrupted[i] ^= 0x40
		if _, err := Decode(corrupted); err == nil {
			t.Fatalf("decoded with a flipped bit in byte %d", i)
		}
		if _, err := Decode(data[:i]); err == nil {
			t.Fatalf("decoded %d of %d bytes", i, len(data))
		}
	}
	newer := bytes.Clone(data)
	newer[len(magic)-1] = 9
	if _, err := Decode(newer); err == nil || !strings.Contains(err.Error(), "format 9") {
		t.Errorf("newer format: %v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) && err == nil {
		t.Error("Load of a missing file returned no error")
	}
}

// TestBackupElementsAreBounded guards against a backup file that takes the tool over the machine's memory by departures of two
// bytes each.
func TestBackupElementsAreBounded(t *testing.T) {
	state := bytes.Repeat([]byte{10<<3 | 2, 0}, 1<<20) // State.departures
	snapshot := append(binary.AppendUvarint([]byte{1<<3 | 2}, uint64(len(state))), state...)
	body, err := proto.Marshal(&wire.Backup{Term: 1, Index: 1, Snapshot: snapshot})
	if err != nil {
		t.Fatal(err)
	}
	data := binary.BigEndian.AppendUint32(bytes.Clone(magic), crc32.Checksum(body, castagnoli))
	var tooMany *wire.ElementsError
	if _, err := Decode(append(data, body...)); !errors.As(err, &tooMany) {
		t.Errorf("error %v, want one that names the bound on elements", err)
	}
	path := filepath.Join(t.TempDir(), "large")
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "larger than 67108864 bytes") {
		t.Errorf("a file that is too large: error %v", err)
	}
}
