package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"google.golang.org/protobuf/proto"
)

// The keys of the database. An entry's key is its prefix and its index, big-endian.
var (
	keyID        = []byte("id")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyFormat    = []byte("format")
	entryPrefix  = byte('e')
)

// format is the newest one that this version knows: 1 has records with checksums, 2 large snapshots in files of their own.
// Folders of the first format name none. Keys and formats are frozen: stored data stays readable.
const format = 2

// ErrNewerFormat says that a later version has written the folder, in which nothing was changed.
var ErrNewerFormat = errors.New("written by a later version")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal prefixes a record with its checksum.
func seal(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), sum), value...)
}

// unseal returns a record without its checksum.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 4 || binary.BigEndian.Uint32(sealed) != crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, sealed[4:]) {
		return nil, fmt.Errorf("%w: the record %q fails its checksum", errCorrupted, key)
	}
	return sealed[4:], nil
}

func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{entryPrefix}, index)
}

// get reads a message; ok is false if there is none.
func (s *Store) get(key []byte, m proto.Message) (ok bool, err error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("reading %q: %w", key, err)
	}
	if data, err = s.record(key, data); err != nil {
		return false, err
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return false, fmt.Errorf("%w: reading %q: %w", errCorrupted, key, err)
	}
	return true, nil
}

// Checksum returns the CRC-32C of a snapshot's data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// record returns the content of a stored record.
func (s *Store) record(key, stored []byte) ([]byte, error) {
	if s.unsealed {
		return stored, nil
	}
	return unseal(key, stored)
}

// readFormat reads the format of the records.
func (s *Store) readFormat() error {
	b, err := s.db.Get(keyFormat, nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		s.unsealed = true
	case err != nil:
		return fmt.Errorf("reading the format: %w", err)
	case len(b) != 4:
		return fmt.Errorf("%w: the format has %d bytes, not 4", errCorrupted, len(b))
	default:
		if s.format = binary.BigEndian.Uint32(b); s.format > format {
			return fmt.Errorf("%w: format %d, and this one knows up to %d", ErrNewerFormat, s.format, format)
		}
	}
	return nil
}

// upgrade brings the folder to the newest format, in one synced write.
func (s *Store) upgrade() error {
	w := new(leveldb.Batch)
	if s.unsealed {
		if err := s.sealAll(w); err != nil {
			return err
		}
	}
	w.Put(keyFormat, binary.BigEndian.AppendUint32(nil, format))
	if err := s.db.Write(w, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("writing the records anew: %w", err)
	}
	s.unsealed, s.format = false, format
	return nil
}

func (s *Store) sealAll(w *leveldb.Batch) error {
	it := s.db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		w.Put(bytes.Clone(it.Key()), seal(it.Key(), it.Value()))
	}
	if err := it.Error(); err != nil {
		return fmt.Errorf("reading records of the first format: %w", err)
	}
	return nil
}
