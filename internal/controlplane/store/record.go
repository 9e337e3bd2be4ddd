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

// Keys of the database. An entry's key is entryPrefix and the index as 8 bytes, big-endian.
var (
	keyID         = []byte("id")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
	keyFormat     = []byte("format")
	keyDepartures = []byte("departures")
	entryPrefix   = byte('e')
)

// latestFormat is the latest format that this version supports. Format 1 added checksums to records, and format 2 files for
// large snapshots. Folders without a format record predate both. Keys and formats must not change, so that stored data
// stays readable.
const latestFormat = 2

// ErrNewerFormat is returned for a folder that a later version has written. The folder is left unchanged.
var ErrNewerFormat = errors.New("written by a later version")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// addChecksum returns a record: the CRC-32C of the key and the value, followed by the value.
func addChecksum(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(value)), sum), value...)
}

// verifyChecksum verifies a record and returns its value without the checksum.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 || binary.BigEndian.Uint32(stored) != crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, stored[4:]) {
		return nil, fmt.Errorf("%w: checksum mismatch in record %q", errCorrupted, key)
	}
	return stored[4:], nil
}

func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{entryPrefix}, index)
}

// get reads the message stored under a key into message. ok is false if there is none.
func (s *Store) get(key []byte, message proto.Message) (ok bool, err error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("reading record %q: %w", key, err)
	}
	if data, err = s.record(key, data); err != nil {
		return false, err
	}
	if err := proto.Unmarshal(data, message); err != nil {
		return false, fmt.Errorf("%w: decoding record %q: %w", errCorrupted, key, err)
	}
	return true, nil
}

// Checksum returns the CRC-32C of a snapshot's data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// record returns the value of a stored record, after verifying the checksum if the folder's format has one.
func (s *Store) record(key, stored []byte) ([]byte, error) {
	if s.noChecksums {
		return stored, nil
	}
	return verifyChecksum(key, stored)
}

// readFormat reads the folder's format. A folder without one has records without checksums.
func (s *Store) readFormat() error {
	stored, err := s.db.Get(keyFormat, nil)
	switch {
	case errors.Is(err, leveldb.ErrNotFound):
		s.noChecksums = true
	case err != nil:
		return fmt.Errorf("reading the format: %w", err)
	case len(stored) != 4:
		return fmt.Errorf("%w: the format has %d bytes, want 4", errCorrupted, len(stored))
	default:
		if s.format = binary.BigEndian.Uint32(stored); s.format > latestFormat {
			return fmt.Errorf("%w: format %d, this version supports formats up to %d", ErrNewerFormat, s.format, latestFormat)
		}
	}
	return nil
}

// upgrade converts the folder to the latest format in one synced write.
func (s *Store) upgrade() error {
	batch := new(leveldb.Batch)
	if s.noChecksums {
		if err := s.addChecksums(batch); err != nil {
			return err
		}
	}
	batch.Put(keyFormat, binary.BigEndian.AppendUint32(nil, latestFormat))
	if err := s.db.Write(batch, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("upgrading the records: %w", err)
	}
	s.noChecksums, s.format = false, latestFormat
	return nil
}

func (s *Store) addChecksums(batch *leveldb.Batch) error {
	it := s.db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		batch.Put(bytes.Clone(it.Key()), addChecksum(it.Key(), it.Value()))
	}
	if err := it.Error(); err != nil {
		return fmt.Errorf("reading records without checksums: %w", err)
	}
	return nil
}
