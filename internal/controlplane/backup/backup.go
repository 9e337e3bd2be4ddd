// Package backup writes the replicated state to a file, and makes the folder of a quorum member out of such a file when all
// members and their disks are lost. Package server serves backups, and ivydeckctl stores and restores them.
//
// A restore never happens by itself: it begins a new quorum of one member that all others join, and takes back all that was
// acknowledged after the backup. docs/operations.md has the steps.
package backup

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"ivydeck/internal/controlplane/catalog"
	"ivydeck/internal/controlplane/store"
	"ivydeck/internal/transport/wire"
)

// magic begins a backup's file; its last byte is the format. A CRC-32C, big-endian, and a wire.Backup follow. The form is
// frozen: files of earlier versions stay readable.
var magic = []byte("ivydeck backup\x01")

// updatesAhead is how far the indexes of a restored quorum's updates begin beyond the backup's. Nodes that have outlived the
// old quorum apply nothing older than what they have, and may have more than the backup.
const updatesAhead = 1 << 32

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Backup is the replicated state at one entry of the log.
type Backup struct {
	Term, Index uint64
	State       *catalog.Catalog
}

// OfStore returns the backup of a stopped machine's folder. It has all that is on this disk, also what may not have been
// committed; beyond is the number of such commands.
func OfStore(dir string) (b *Backup, beyond int, err error) {
	s, err := store.Inspect(dir)
	if err != nil {
		return nil, 0, err
	}
	if err := s.Verify(); err != nil {
		return nil, 0, err
	}
	b = &Backup{Term: s.Snapshot.GetTerm(), Index: s.Snapshot.GetIndex(), State: catalog.New()}
	if len(s.Snapshot.GetData()) > 0 {
		if err := b.State.Restore(s.Snapshot.Data); err != nil {
			return nil, 0, err
		}
	}
	for _, e := range s.Entries {
		b.Term, b.Index = e.Term, e.Index
		if e.Kind != wire.Entry_COMMAND {
			continue
		}
		cmd := new(wire.Command)
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			return nil, 0, fmt.Errorf("backup: entry %d: %w", e.Index, err)
		}
		b.State.Apply(cmd) // an error was its sender's
		beyond++
	}
	return b, beyond, nil
}

// Encode returns the backup as a file's bytes.
func (b *Backup) Encode() ([]byte, error) {
	snapshot, err := b.State.Snapshot()
	if err != nil {
		return nil, err
	}
	body, err := proto.Marshal(&wire.Backup{Term: b.Term, Index: b.Index, Snapshot: snapshot})
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	encoded := append([]byte(nil), magic...)
	encoded = binary.BigEndian.AppendUint32(encoded, crc32.Checksum(body, castagnoli))
	return append(encoded, body...), nil
}

// Decode decodes a backup, completely or not at all.
func Decode(data []byte) (*Backup, error) {
	rest, ok := bytes.CutPrefix(data, magic)
	switch {
	case !ok && bytes.HasPrefix(data, magic[:len(magic)-1]) && len(data) > len(magic):
		return nil, fmt.Errorf("backup: format %d, and this version knows format %d", data[len(magic)-1], magic[len(magic)-1])
	case !ok || len(rest) < 4:
		return nil, errors.New("backup: this is not a backup")
	case binary.BigEndian.Uint32(rest) != crc32.Checksum(rest[4:], castagnoli):
		return nil, errors.New("backup: its checksum does not match")
	}
	var m wire.Backup
	if err := proto.Unmarshal(rest[4:], &m); err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	b := &Backup{Term: m.Term, Index: m.Index, State: catalog.New()}
	if err := b.State.Restore(m.Snapshot); err != nil {
		return nil, err
	}
	return b, nil
}

// Save writes the backup to a new file, and syncs it.
func (b *Backup) Save(path string) error {
	data, err := b.Encode()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close(), syncFolder(filepath.Dir(path)))
	if err != nil {
		os.Remove(path)
		return fmt.Errorf("backup: writing %s: %w", path, err)
	}
	return nil
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Load reads a backup's file.
func Load(path string) (*Backup, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	b, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// Summary describes a backup in a line.
func (b *Backup) Summary() string {
	return fmt.Sprintf("revision %d and %d servers, at entry %d of term %d", b.State.Revision(), len(b.State.Servers()), b.Index, b.Term)
}

// Loss describes what a restore into a folder would lose; empty: the folder has nothing newer.
func (b *Backup) Loss(dir string) (string, error) {
	if empty, err := isEmpty(dir); err != nil || empty {
		return "", err
	}
	there, _, err := OfStore(dir)
	if err != nil {
		return "", err
	}
	if there.Index <= b.Index {
		return "", nil
	}
	return fmt.Sprintf("%s holds %s: %d entries more than the backup, whose %s", dir, there.Summary(), there.Index-b.Index, b.Summary()), nil
}

func isEmpty(dir string) (bool, error) {
	list, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("backup: %w", err)
	}
	return len(list) == 0, nil
}

// Restore makes an empty folder the first member of a new quorum, which all others join. address is its internal address and
// control that of its operators' interface. A folder that is not empty is rejected.
func (b *Backup) Restore(dir, address, control string, rng *rand.Rand) error {
	if address == "" || control == "" {
		return errors.New("backup: the machine's addresses for nodes and for operators have to be given")
	}
	if empty, err := isEmpty(dir); err != nil {
		return err
	} else if !empty {
		return fmt.Errorf("backup: %s is not empty; move what is in it elsewhere first", dir)
	}
	state := catalog.New()
	snapshot, err := b.State.Snapshot()
	if err != nil {
		return err
	}
	if err := state.Restore(snapshot); err != nil {
		return err
	}
	state.Advance(updatesAhead) // servers that have ended meanwhile are found lost as ever
	data, err := state.Snapshot()
	if err != nil {
		return err
	}
	s, err := store.Open(dir, rng)
	if err != nil {
		return err
	}
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: s.ID, Address: address, ControlAddress: control, Voter: true}}}
	err = s.Save(store.Batch{
		Snapshot: &wire.RaftSnapshot{Term: b.Term + 1, Index: b.Index + 1, Peers: peers, Data: data}, ReplacesLog: true,
		HardState: &wire.HardState{Term: b.Term + 1},
	})
	if err = errors.Join(err, s.Close()); err != nil {
		return fmt.Errorf("backup: %s: %w", filepath.Join(dir, "log"), err)
	}
	return nil
}
