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
	inlineSnapshot = 64 << 10 // smaller snapshots are kept in a record
	snapshotPrefix = "snapshot-"
	incomingPrefix = "incoming-"
)

// StagedSnapshot is a snapshot's data that is durable in the folder. It is in force once a Save names it.
type StagedSnapshot struct {
	Data   []byte
	folder Folder
	file   *wire.SnapshotFile // nil: small enough for a record
}

// record returns the record of a snapshot with this data.
func (s *StagedSnapshot) record(snapshot *wire.RaftSnapshot) *wire.RaftSnapshot {
	if s == nil || s.file == nil {
		return snapshot
	}
	return &wire.RaftSnapshot{Term: snapshot.Term, Index: snapshot.Index, Peers: snapshot.Peers, File: s.file}
}

// Discard removes what was staged and will not be in force.
func (s *StagedSnapshot) Discard() {
	if s != nil && s.file != nil {
		s.folder.Remove(s.file.Name) // if that fails, the next open removes it
	}
}

// Stage writes a snapshot's data before the Save that puts it in force. Any goroutine may call it.
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
		s.folder.Remove(before) // if that fails, the next open removes it
	}
	s.Snapshot = &wire.RaftSnapshot{Term: b.Snapshot.Term, Index: b.Snapshot.Index, Peers: b.Snapshot.Peers}
}

// removeStrayFiles removes the files of snapshots that are not in force.
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

// IncomingSnapshot receives a leader's snapshot in chunks. They stay in the folder, so that a transfer can be resumed after
// a broken stream or a restart. It belongs to one goroutine.
type IncomingSnapshot struct {
	folder Folder
	want   *wire.SnapshotFile
	name   string
	file   File
	offset uint64
}

// Receive begins or resumes the receipt of a snapshot of a size and checksum. Only one may be in progress: the chunks of
// others are removed. Any goroutine may call it.
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

// Offset is the number of bytes that were received.
func (s *IncomingSnapshot) Offset() uint64 { return s.offset }

// Write appends the next chunk.
func (s *IncomingSnapshot) Write(chunk []byte) error {
	if s.offset+uint64(len(chunk)) > s.want.Size {
		return errors.New("store: a snapshot is longer than its offer says")
	}
	n, err := s.file.Write(chunk)
	s.offset += uint64(n)
	if err != nil {
		return fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	return nil
}

// Finish verifies the checksum of the received data, and stages it. Data that fails is removed.
func (s *IncomingSnapshot) Finish() (*StagedSnapshot, error) {
	folder := s.folder
	data, err := readFile(folder, s.name)
	if err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	if uint64(len(data)) != s.want.Size || Checksum(data) != s.want.Checksum {
		folder.Remove(s.name)
		return nil, errors.New("store: a received snapshot fails its checksum")
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

// Close ends the receipt; the received chunks stay.
func (s *IncomingSnapshot) Close() error { return s.file.Close() }
