package backup

import (
	"bytes"
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

// folder is a machine's, with so many configurations behind each other and a server.
func folder(t *testing.T, revisions uint64) string {
	t.Helper()
	dir := t.TempDir()
	s, err := store.Open(dir, rng())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	commands := []*wire.Command{{Change: &wire.Command_Server{Server: &wire.Server{Member: "i-1", Service: "s", Node: "n"}}}}
	for r := range revisions {
		body, err := msgpack.Marshal(&meshconfig.Config{Revision: r + 1, Backends: []meshconfig.Backend{{Name: "s"}}})
		if err != nil {
			t.Fatal(err)
		}
		commands = append(commands, &wire.Command{Change: &wire.Command_Config{Config: &wire.PutConfig{Base: r, Body: body}}})
	}
	var entries []*wire.Entry
	for i, c := range commands {
		data, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, &wire.Entry{Term: 3, Index: uint64(i + 1), Data: data})
	}
	if err := s.Save(store.Batch{HardState: &wire.HardState{Term: 3}, Entries: entries}); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestRoundTrip: what a folder holds is in its backup, in the file, and in the folder that is made of it; what would be
// lost is told; nothing that is there is written over.
func TestRoundTrip(t *testing.T) {
	dir := folder(t, 4)
	b, beyond, err := OfStore(dir)
	if err != nil || beyond != 5 || b.State.Revision() != 4 || b.Index != 5 {
		t.Fatalf("%+v, %d beyond, %v", b, beyond, err)
	}
	file := filepath.Join(t.TempDir(), "b")
	if err := b.Save(file); err != nil {
		t.Fatal(err)
	}
	if err := b.Save(file); err == nil {
		t.Error("a file was written over")
	}
	read, err := Load(file)
	if err != nil || read.Summary() != b.Summary() {
		t.Fatalf("%v, %v", read, err)
	}
	made := filepath.Join(t.TempDir(), "new")
	if err := read.Restore(made, "1.2.3.4:5", "1.2.3.4:6", rng()); err != nil {
		t.Fatal(err)
	}
	s, err := store.Inspect(made)
	if err != nil {
		t.Fatal(err)
	}
	peers := s.Snapshot.GetPeers().GetPeers()
	if len(peers) != 1 || peers[0].Id != s.ID || !peers[0].Voter || peers[0].Address != "1.2.3.4:5" || s.HardState.GetTerm() <= b.Term || s.Snapshot.Index <= b.Index {
		t.Errorf("members %v, term %d, index %d", peers, s.HardState.GetTerm(), s.Snapshot.Index)
	}
	again, _, err := OfStore(made)
	if err != nil || again.State.Revision() != 4 || len(again.State.Servers()) != 1 || again.State.Servers()[0].Member != "i-1" || again.State.Index() <= b.State.Index() {
		t.Errorf("%+v, %v", again, err)
	}
	if err := read.Restore(made, "a", "b", rng()); err == nil || !strings.Contains(err.Error(), "not empty") {
		t.Errorf("into a folder that is in use: %v", err)
	}
	if err := read.Restore(t.TempDir(), "", "b", rng()); err == nil {
		t.Error("without an address")
	}
	for revisions, lost := range map[uint64]bool{3: false, 4: false, 6: true} {
		loss, err := b.Loss(folder(t, revisions))
		if err != nil || (loss != "") != lost || lost && !strings.Contains(loss, "2 entries more") {
			t.Errorf("beside a folder of revision %d: %q, %v", revisions, loss, err)
		}
	}
}

// TestDamagedFiles: a backup is read whole or not at all.
func TestDamagedFiles(t *testing.T) {
	b, _, err := OfStore(folder(t, 2))
	if err != nil {
		t.Fatal(err)
	}
	data, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		turned := bytes.Clone(data)
		turned[i] ^= 0x40
		if _, err := Decode(turned); err == nil {
			t.Fatalf("read with byte %d turned", i)
		}
		if _, err := Decode(data[:i]); err == nil {
			t.Fatalf("read with %d of %d bytes", i, len(data))
		}
	}
	newer := bytes.Clone(data)
	newer[len(magic)-1] = 9
	if _, err := Decode(newer); err == nil || !strings.Contains(err.Error(), "format 9") {
		t.Errorf("a newer format: %v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) && err == nil {
		t.Error("no file was read")
	}
}
