// Package backup writes the replicated state to a file, and creates the folder of a quorum member from such a file after all
// members and their disks were lost. Package server serves backups, and ivydeckctl stores and restores them.
//
// A restore is always started by an operator. It creates a new quorum of one member, which all others join, and loses all
// changes that were acknowledged after the backup. docs/operations.md has the steps.
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
	"ivydeck/internal/pkg/boundedfile"
	"ivydeck/internal/transport/wire"
)

// magic is the prefix of a backup file; its last byte is the format. A big-endian CRC-32C and a wire.Backup follow. The
// format must not change, so that files of earlier versions stay readable.
var magic = []byte("ivydeck backup\x01")

// restoredIndexOffset is added to the index of the latest update in a restored state. Nodes ignore updates with an index
// that they have already applied, and may have applied more updates than the backup holds.
const restoredIndexOffset = 1 << 32

const (
	maxFileBytes = 64 << 20 // maximum size of a backup file, in bytes
	maxElements  = 1 << 10  // maximum number of elements in a wire.Backup, whose snapshot is one: see wire.CountElements
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Backup is the replicated state after the log entry with the given term and index.
type Backup struct {
	Term, Index uint64
	State       *catalog.Catalog
}

// OfStore returns a backup of a stopped member's folder. It applies all stored entries, including those that may not have
// been committed. afterSnapshot is the number of commands after the snapshot.
func OfStore(dir string) (b *Backup, afterSnapshot int, err error) {
	stored, err := store.Inspect(dir)
	if err != nil {
		return nil, 0, err
	}
	if err := stored.Verify(); err != nil {
		return nil, 0, err
	}
	b = &Backup{Term: stored.Snapshot.GetTerm(), Index: stored.Snapshot.GetIndex(), State: catalog.New()}
	if len(stored.Snapshot.GetData()) > 0 {
		if err := b.State.Restore(stored.Snapshot.Data); err != nil {
			return nil, 0, err
		}
	}
	for _, entry := range stored.Entries {
		b.Term, b.Index = entry.Term, entry.Index
		if entry.Kind != wire.Entry_COMMAND {
			continue
		}
		cmd := new(wire.Command)
		if err := proto.Unmarshal(entry.Data, cmd); err != nil {
			return nil, 0, fmt.Errorf("backup: decoding entry %d: %w", entry.Index, err)
		}
		b.State.Apply(cmd) // a rejected command changes nothing
		afterSnapshot++
	}
	return b, afterSnapshot, nil
}

// Encode returns the content of a backup file.
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

// Decode decodes the content of a backup file and verifies its checksum.
func Decode(data []byte) (*Backup, error) {
	rest, ok := bytes.CutPrefix(data, magic)
	switch {
	case !ok && bytes.HasPrefix(data, magic[:len(magic)-1]) && len(data) > len(magic):
		return nil, fmt.Errorf("backup: format %d is not supported, this version supports format %d", data[len(magic)-1], magic[len(magic)-1])
	case !ok || len(rest) < 4:
		return nil, errors.New("backup: the data is not a backup or is truncated")
	case binary.BigEndian.Uint32(rest) != crc32.Checksum(rest[4:], castagnoli):
		return nil, errors.New("backup: checksum mismatch")
	}
	var message wire.Backup
	if err := wire.Unmarshal(rest[4:], &message, maxElements); err != nil {
		return nil, fmt.Errorf("backup: decoding: %w", err)
	}
	state, err := catalog.Decode(message.Snapshot)
	if err != nil {
		return nil, err
	}
	return &Backup{Term: message.Term, Index: message.Index, State: state}, nil
}

// Save writes the backup to a new file and syncs it. It returns an error if the file exists.
func (b *Backup) Save(path string) error {
	data, err := b.Encode()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("backup: %w", err)
	}
	_, err = file.Write(data)
	err = errors.Join(err, file.Sync(), file.Close(), syncFolder(filepath.Dir(path)))
	if err != nil {
		os.Remove(path)
		return fmt.Errorf("backup: writing %s: %w", path, err)
	}
	return nil
}

// syncFolder makes the creation of files in a folder durable.
func syncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Load reads and decodes a backup file.
func Load(path string) (*Backup, error) {
	data, err := boundedfile.Read(path, maxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("backup: %w", err)
	}
	b, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// Summary describes a backup in one line.
func (b *Backup) Summary() string {
	return fmt.Sprintf("revision %d and %d servers, at entry %d of term %d", b.State.Revision(), len(b.State.Servers()), b.Index, b.Term)
}

// Loss describes what would be lost if the backup replaced the state in a member's folder. It returns an empty string if the
// folder is empty or has no entries after the backup's index.
func (b *Backup) Loss(dir string) (string, error) {
	if empty, err := isEmpty(dir); err != nil || empty {
		return "", err
	}
	existing, _, err := OfStore(dir)
	if err != nil {
		return "", err
	}
	if existing.Index <= b.Index {
		return "", nil
	}
	return fmt.Sprintf("%s holds %s: %d entries more than the backup, which holds %s", dir, existing.Summary(), existing.Index-b.Index, b.Summary()), nil
}

func isEmpty(dir string) (bool, error) {
	dirEntries, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("backup: %w", err)
	}
	return len(dirEntries) == 0, nil
}

// Restore writes the store of a new quorum's first member, which all others join, to an empty or missing folder. address is
// the member's address for nodes, and controlAddress its address for operators. Servers that have stopped since the backup
// stay registered until their nodes or the leader deregister them.
func (b *Backup) Restore(dir, address, controlAddress string, rng *rand.Rand) error {
	if address == "" || controlAddress == "" {
		return errors.New("backup: the member's addresses for nodes and for operators are required")
	}
	if empty, err := isEmpty(dir); err != nil {
		return err
	} else if !empty {
		return fmt.Errorf("backup: folder %s is not empty; move its content elsewhere first", dir)
	}
	state := catalog.New()
	snapshot, err := b.State.Snapshot()
	if err != nil {
		return err
	}
	if err := state.Restore(snapshot); err != nil {
		return err
	}
	state.Advance(restoredIndexOffset)
	data, err := state.Snapshot()
	if err != nil {
		return err
	}
	target, err := store.Open(dir, rng)
	if err != nil {
		return err
	}
	peers := &wire.Peers{Peers: []*wire.Peer{{Id: target.ID, Address: address, ControlAddress: controlAddress, Voter: true}}}
	err = target.Save(store.Batch{
		Snapshot: &wire.RaftSnapshot{Term: b.Term + 1, Index: b.Index + 1, Peers: peers, Data: data}, ReplacesLog: true,
		HardState: &wire.HardState{Term: b.Term + 1},
	})
	if err = errors.Join(err, target.Close()); err != nil {
		return fmt.Errorf("backup: writing the store in %s: %w", filepath.Join(dir, "log"), err)
	}
	return nil
}
