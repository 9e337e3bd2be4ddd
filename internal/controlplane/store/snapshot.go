package store

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"ivydeck/internal/transport/wire"
)

const (
	inlineSnapshot = 64 << 10 // a smaller one is kept as a record
	snapshotPrefix = "snapshot-"
	incomingPrefix = "incoming-"
)

// StagedSnapshot is a snapshot's data that is in the folder for good. It counts once a Save names it.
type StagedSnapshot struct {
	Data   []byte
	folder Folder
	file   *wire.SnapshotFile // nil: small enough for a record
}

// record is what stands for a snapshot with this data in the database.
func (s *StagedSnapshot) record(snapshot *wire.RaftSnapshot) *wire.RaftSnapshot {
	if s == nil || s.file == nil {
		return snapshot
	}
	return &wire.RaftSnapshot{Term: snapshot.Term, Index: snapshot.Index, Peers: snapshot.Peers, File: s.file}
}

// Discard removes what was staged and is not to count.
func (s *StagedSnapshot) Discard() {
	if s != nil && s.file != nil {
		s.folder.Remove(s.file.Name) // what stays is removed at the next opening
	}
}

// Stage writes a snapshot's data ahead of the Save that makes it count. Any goroutine may call it.
func (s *Store) Stage(index uint64, data []byte) (*StagedSnapshot, error) {
	staged := &StagedSnapshot{Data: data, folder: s.folder}
	if len(data) <= inlineSnapshot {
		return staged, nil
	}
	staged.file = &wire.SnapshotFile{Name: snapshotName(index), Size: uint64(len(data)), Checksum: Checksum(data)}
	file, err := s.folder.Create(staged.file.Name)
	if err != nil {
		return nil, fmt.Errorf("store: staging a snapshot: %w", err)
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Sync(), file.Close(), s.folder.Sync()); err != nil {
		staged.Discard()
		return nil, fmt.Errorf("store: staging a snapshot: %w", err)
	}
	return staged, nil
}

// snapshotName is a name that no other snapshot of the folder has.
func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%d-%016x", snapshotPrefix, index, rand.Uint64())
}

// loadSnapshot reads the snapshot in force.
func (s *Store) loadSnapshot() error {
	snapshot := new(wire.RaftSnapshot)
	if ok, err := s.get(keySnapshot, snapshot); err != nil || !ok {
		return err
	}
	s.Snapshot = snapshot
	file := snapshot.File
	if file == nil {
		return nil
	}
	data, err := readFile(s.folder, file.Name)
	if errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%w: the snapshot's file %s does not exist", errCorrupted, file.Name)
	}
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	if uint64(len(data)) != file.Size || Checksum(data) != file.Checksum {
		return fmt.Errorf("%w: the snapshot's file %s fails its checksum", errCorrupted, file.Name)
	}
	snapshot.Data, s.snapshotFile = data, file.Name
	snapshot.File = nil
	return nil
}

// replaceSnapshot notes the snapshot in force, and removes the one before.
func (s *Store) replaceSnapshot(b Batch) {
	before := s.snapshotFile
	s.snapshotFile = ""
	if b.Staged != nil && b.Staged.file != nil {
		s.snapshotFile = b.Staged.file.Name
	}
	if before != "" && before != s.snapshotFile {
		s.folder.Remove(before) // what stays is removed at the next opening
	}
	s.Snapshot = &wire.RaftSnapshot{Term: b.Snapshot.Term, Index: b.Snapshot.Index, Peers: b.Snapshot.Peers}
}

// removeStrayFiles removes the files of snapshots that do not count.
func (s *Store) removeStrayFiles() error {
	names, err := s.folder.List()
	if err != nil {
		return fmt.Errorf("listing files: %w", err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name != s.snapshotFile {
			if err := s.folder.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("removing a file: %w", err)
			}
		}
	}
	return nil
}

// IncomingSnapshot is a leader's snapshot that comes in pieces. What has come stays in the folder, so that the rest can
// follow after a broken stream or a restart. It is for one goroutine at a time.
type IncomingSnapshot struct {
	folder Folder
	want   *wire.SnapshotFile
	name   string
	file   File
	offset uint64
}

// Receive begins or resumes the receipt of a snapshot of the given size and checksum. Only one is kept under way; what has
// come of others is removed. Any goroutine may call it.
func (s *Store) Receive(index, size uint64, checksum uint32) (*IncomingSnapshot, error) {
	name := fmt.Sprintf("%s%d-%d-%08x", incomingPrefix, index, size, checksum)
	names, err := s.folder.List()
	if err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	for _, other := range names {
		if strings.HasPrefix(other, incomingPrefix) && other != name {
			s.folder.Remove(other)
		}
	}
	file, err := s.folder.Append(name)
	if err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	end, err := file.Seek(0, io.SeekEnd)
	if err == nil && uint64(end) > size { // not of this snapshot
		err = errors.Join(file.Close(), s.folder.Remove(name))
		if err == nil {
			return s.Receive(index, size, checksum)
		}
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	want := &wire.SnapshotFile{Name: snapshotName(index), Size: size, Checksum: checksum}
	return &IncomingSnapshot{folder: s.folder, want: want, name: name, file: file, offset: uint64(end)}, nil
}

// Offset is how much of the data has come.
func (s *IncomingSnapshot) Offset() uint64 { return s.offset }

// Write takes the next piece.
func (s *IncomingSnapshot) Write(chunk []byte) error {
	if s.offset+uint64(len(chunk)) > s.want.Size {
		return errors.New("store: a snapshot is longer than was said")
	}
	n, err := s.file.Write(chunk)
	s.offset += uint64(n)
	if err != nil {
		return fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	return nil
}

// Finish checks what has come against its checksum, and stages it. What does not pass is removed.
func (s *IncomingSnapshot) Finish() (*StagedSnapshot, error) {
	folder := s.folder
	data, err := readFile(folder, s.name)
	if err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	if uint64(len(data)) != s.want.Size || Checksum(data) != s.want.Checksum {
		folder.Remove(s.name)
		return nil, errors.New("store: a snapshot that has come fails its checksum")
	}
	staged := &StagedSnapshot{Data: data, folder: folder}
	if len(data) <= inlineSnapshot {
		folder.Remove(s.name)
		return staged, nil
	}
	staged.file = s.want
	if err := errors.Join(s.file.Sync(), folder.Rename(s.name, staged.file.Name), folder.Sync()); err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	return staged, nil
}

// Close ends the receipt; what has come stays.
func (s *IncomingSnapshot) Close() error { return s.file.Close() }
