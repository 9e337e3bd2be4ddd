package store

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// TestOpenEarlierVersion loads a folder that an earlier version has written, appends to it and loads it again. The folder has
// a snapshot file at index 6, a tail of entries 5 and 6, and the entries 7 to 11.
func TestOpenEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/earlier-version")); err != nil {
		t.Fatal(err)
	}
	s := open(t, dir)
	checkEarlierVersion(t, s)
	save(t, s, Batch{HardState: &wire.HardState{Term: 4, Vote: s.ID}, Entries: entries(4, 12, 12)})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, dir)
	defer s.Close()
	if s.HardState.GetTerm() != 4 || len(s.Entries) != 6 || s.Entries[5].Term != 4 {
		t.Errorf("after a write: hard state %v, %d entries; want term 4 and 6 entries, the last one of term 4", s.HardState, len(s.Entries))
	}
}

func checkEarlierVersion(t *testing.T, s *Store) {
	t.Helper()
	if s.Fresh || s.Damaged != nil || s.ID != 0xc4f5a58656eef510 {
		t.Fatalf("fresh %v, damaged %v, identity %016x; want false, nil, c4f5a58656eef510", s.Fresh, s.Damaged, s.ID)
	}
	if s.HardState.GetTerm() != 3 || s.HardState.GetVote() != 42 {
		t.Errorf("hard state is %v, want term 3 and vote 42", s.HardState)
	}
	if s.Snapshot.GetTerm() != 2 || s.Snapshot.GetIndex() != 6 || len(s.Snapshot.GetData()) != 90888 {
		t.Errorf("snapshot of term %d at index %d with %d bytes, want term 2, index 6, 90888 bytes", s.Snapshot.GetTerm(), s.Snapshot.GetIndex(), len(s.Snapshot.GetData()))
	}
	peers := s.Snapshot.GetPeers().GetPeers()
	if len(peers) != 3 || peers[1].Id != 42 || peers[1].Address != "10.0.1.2:7380" || peers[1].ControlAddress != "10.0.1.2:8144" || peers[2].Voter {
		t.Errorf("snapshot members are %v", peers)
	}
	if len(s.Tail) != 2 || s.Tail[0].Index != 5 || s.Tail[0].Kind != wire.Entry_NO_OP {
		t.Errorf("tail is %v, want entries 5 and 6, the first one a no-op", s.Tail)
	}
	if len(s.Entries) != 5 {
		t.Fatalf("%d entries, want 5", len(s.Entries))
	}
	var members wire.Peers
	if err := proto.Unmarshal(s.Entries[1].Data, &members); err != nil || s.Entries[1].Kind != wire.Entry_MEMBERSHIP || !members.Peers[2].Voter {
		t.Errorf("entry 8 is %v: %v", s.Entries[1], err)
	}
	var drain, remove wire.Command
	if err := proto.Unmarshal(s.Entries[3].Data, &drain); err != nil || !drain.GetServer().GetDraining() || drain.GetServer().GetProtocolVersion() != 1 {
		t.Errorf("entry 10 is %v: %v", &drain, err)
	}
	if err := proto.Unmarshal(s.Entries[4].Data, &remove); err != nil || len(remove.GetRemove().GetMembers()) != 1 {
		t.Errorf("entry 11 is %v: %v", &remove, err)
	}
	if err := s.Verify(); err != nil {
		t.Error(err)
	}
}
