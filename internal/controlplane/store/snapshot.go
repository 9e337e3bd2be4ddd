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
	maxInlineSnapshot = 64 << 10 // bytes; larger snapshots are stored in files
	snapshotPrefix    = "snapshot-"
	incomingPrefix    = "incoming-"
)

// StagedSnapshot is snapshot data that is prepared for a Save. Data above maxInlineSnapshot is already durable in a file,
// which becomes the current snapshot once a Save refers to it.
type StagedSnapshot struct {
	Data   []byte
	folder Folder
	file   *wire.SnapshotFile // nil if the data fits in a record
}

// record returns the record to store for a snapshot: with a reference to the staged file, or with the data itself.
func (s *StagedSnapshot) record(snapshot *wire.RaftSnapshot) *wire.RaftSnapshot {
	if s == nil || s.file == nil {
		return snapshot
	}
	return &wire.RaftSnapshot{Term: snapshot.Term, Index: snapshot.Index, Peers: snapshot.Peers, File: s.file}
}

// Discard removes the file of a staged snapshot that will not be saved. It accepts a nil receiver.
func (s *StagedSnapshot) Discard() {
	if s != nil && s.file != nil {
		s.folder.Remove(s.file.Name) // if that fails, the next open removes it
	}
}

// Stage prepares a snapshot's data for a Save: it writes and syncs large data to a file. Any goroutine may call it.
func (s *Store) Stage(index uint64, data []byte) (*StagedSnapshot, error) {
	staged := &StagedSnapshot{Data: data, folder: s.folder}
	if len(data) <= maxInlineSnapshot {
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

// snapshotName returns a new file name. A random suffix makes it unique in the folder.
func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%d-%016x", snapshotPrefix, index, rand.Uint64())
}

// loadSnapshot reads the current snapshot, and its data from the snapshot's file if it has one.
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
		return fmt.Errorf("%w: snapshot file %s does not exist", errCorrupted, file.Name)
	}
	if err != nil {
		return fmt.Errorf("reading a snapshot: %w", err)
	}
	if uint64(len(data)) != file.Size || Checksum(data) != file.Checksum {
		return fmt.Errorf("%w: size or checksum mismatch in snapshot file %s", errCorrupted, file.Name)
	}
	snapshot.Data, s.snapshotFile = data, file.Name
	snapshot.File = nil
	return nil
}

// replaceSnapshot updates the store's fields after a snapshot was saved, and removes the file of the previous one.
func (s *Store) replaceSnapshot(batch Batch) {
	previous := s.snapshotFile
	s.snapshotFile = ""
	if batch.Staged != nil && batch.Staged.file != nil {
		s.snapshotFile = batch.Staged.file.Name
	}
	if previous != "" && previous != s.snapshotFile {
		s.folder.Remove(previous) // if that fails, the next open removes it
	}
	s.Snapshot = &wire.RaftSnapshot{Term: batch.Snapshot.Term, Index: batch.Snapshot.Index, Peers: batch.Snapshot.Peers}
}

// removeStrayFiles removes all snapshot files except the current snapshot's.
func (s *Store) removeStrayFiles() error {
	names, err := s.folder.List()
	if err != nil {
		return fmt.Errorf("listing snapshot files: %w", err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name != s.snapshotFile {
			if err := s.folder.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("removing an unused snapshot file: %w", err)
			}
		}
	}
	return nil
}

// IncomingSnapshot receives a leader's snapshot in chunks. The chunks stay in the folder, so that a transfer can be resumed
// after a broken stream or a restart. An IncomingSnapshot is not safe for concurrent use.
type IncomingSnapshot struct {
	folder   Folder
	expected *wire.SnapshotFile
	name     string
	file     File
	offset   uint64
}

// Receive starts or resumes the transfer of a snapshot with the given size in bytes and CRC-32C. Only one transfer may be in
// progress: Receive removes the chunks of all others. Any goroutine may call it.
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
	if err == nil && uint64(end) > size { // longer than the snapshot, so start over
		err = errors.Join(file.Close(), s.folder.Remove(name))
		if err == nil {
			return s.Receive(index, size, checksum)
		}
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	expected := &wire.SnapshotFile{Name: snapshotName(index), Size: size, Checksum: checksum}
	return &IncomingSnapshot{folder: s.folder, expected: expected, name: name, file: file, offset: uint64(end)}, nil
}

// Offset returns the number of bytes received.
func (s *IncomingSnapshot) Offset() uint64 { return s.offset }

// Write appends the next chunk.
func (s *IncomingSnapshot) Write(chunk []byte) error {
	if s.offset+uint64(len(chunk)) > s.expected.Size {
		return errors.New("store: a snapshot is longer than its offer says")
	}
	n, err := s.file.Write(chunk)
	s.offset += uint64(n)
	if err != nil {
		return fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	return nil
}

// Finish verifies the size and checksum of the received data and stages it. It removes data that does not match.
func (s *IncomingSnapshot) Finish() (*StagedSnapshot, error) {
	folder := s.folder
	data, err := readFile(folder, s.name)
	if err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	if uint64(len(data)) != s.expected.Size || Checksum(data) != s.expected.Checksum {
		folder.Remove(s.name)
		return nil, errors.New("store: a received snapshot fails its checksum")
	}
	staged := &StagedSnapshot{Data: data, folder: folder}
	if len(data) <= maxInlineSnapshot {
		folder.Remove(s.name)
		return staged, nil
	}
	staged.file = s.expected
	if err := errors.Join(s.file.Sync(), folder.Rename(s.name, staged.file.Name), folder.Sync()); err != nil {
		return nil, fmt.Errorf("store: receiving a snapshot: %w", err)
	}
	return staged, nil
}

// Close ends the transfer. The received chunks stay in the folder.
func (s *IncomingSnapshot) Close() error { return s.file.Close() }
