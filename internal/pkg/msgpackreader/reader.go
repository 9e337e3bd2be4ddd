// Package msgpackreader decodes MessagePack from untrusted senders at a cost in memory, stack and time that is proportional to
// the size of the data, whatever the data announces. It reads values one by one into the caller's types: it neither recurses
// per level of nesting, nor allocates memory for elements that have not arrived.
//
// It accepts what github.com/vmihailenco/msgpack/v5 accepts for the same types: nil for the zero value, integers of any width,
// integers for floating-point numbers, binary data for strings, and structs encoded as arrays of all their fields. That
// library encodes the messages of the mesh. It does not decode them, because it recurses once per level of an unknown value
// and allocates as many elements as an array announces.
//
// Source: the MessagePack specification.
package msgpackreader

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the nesting depth up to which values of unknown fields are accepted by readers with a depth limit.
const MaxDepth = 1000

var (
	// ErrTruncated is returned if the data ends within a value, or is too short for the elements that a value announces.
	ErrTruncated = errors.New("the data ends within a value")
	// ErrTooDeep is returned for a value that exceeds the depth limit of the reader.
	ErrTooDeep = fmt.Errorf("a value is nested more than %d levels deep", MaxDepth)
)

// TypeError is returned for a value that has another type than the requested one.
type TypeError struct {
	Code byte   // first byte of the value
	Want string // the requested type
}

func (e *TypeError) Error() string { return fmt.Sprintf("code %#x instead of %s", e.Code, e.Want) }

// Reader reads the values in a byte slice from its start to its end. It is not safe for concurrent use. After an error, the
// position is undefined.
type Reader struct {
	data     []byte
	offset   int
	maxDepth int // 0 if there is no limit
}

// New returns a reader that rejects unknown values nested more than MaxDepth levels deep.
func New(data []byte) *Reader { return &Reader{data: data, maxDepth: MaxDepth} }

// NewUnlimited returns a reader that accepts values of any depth, for data that was accepted before MaxDepth was introduced.
// Its cost is proportional to the size of the data as well.
func NewUnlimited(data []byte) *Reader { return &Reader{data: data} }

// Offset returns the number of bytes that were read.
func (r *Reader) Offset() int { return r.offset }

// Seek sets the position to an offset between 0 and the size of the data.
func (r *Reader) Seek(offset int) { r.offset = offset }

// Remaining returns the number of bytes that were not read yet.
func (r *Reader) Remaining() int { return len(r.data) - r.offset }

// take returns the next n bytes, which share memory with the data.
func (r *Reader) take(n int) ([]byte, error) {
	if n < 0 || n > r.Remaining() {
		return nil, ErrTruncated
	}
	taken := r.data[r.offset : r.offset+n]
	r.offset += n
	return taken, nil
}

// code reads the first byte of a value.
func (r *Reader) code() (byte, error) {
	first, err := r.take(1)
	if err != nil {
		return 0, err
	}
	return first[0], nil
}

// uint reads a big-endian unsigned integer of 1, 2, 4 or 8 bytes.
func (r *Reader) uint(size int) (uint64, error) {
	encoded, err := r.take(size)
	if err != nil {
		return 0, err
	}
	var padded [8]byte
	copy(padded[8-size:], encoded)
	return binary.BigEndian.Uint64(padded[:]), nil
}

// length reads the length of a value whose header holds it in the given number of bytes.
func (r *Reader) length(size int) (int, error) {
	n, err := r.uint(size)
	return int(n), err
}

// checkCount returns ErrTruncated if the data is too short for a number of elements, each of which takes a byte at least.
func (r *Reader) checkCount(elements int) error {
	if elements > r.Remaining() {
		return fmt.Errorf("%w: it announces %d elements, and %d bytes are left", ErrTruncated, elements, r.Remaining())
	}
	return nil
}

// arrayLength returns the number of elements of an array with the given code. ok is false for a code of another type.
func (r *Reader) arrayLength(code byte) (n int, ok bool, err error) {
	switch {
	case msgpcode.IsFixedArray(code):
		n = int(code & msgpcode.FixedArrayMask)
	case code == msgpcode.Array16:
		n, err = r.length(2)
	case code == msgpcode.Array32:
		n, err = r.length(4)
	default:
		return 0, false, nil
	}
	if err == nil {
		err = r.checkCount(n)
	}
	return n, true, err
}

// mapLength returns the number of entries of a map with the given code. ok is false for a code of another type.
func (r *Reader) mapLength(code byte) (n int, ok bool, err error) {
	switch {
	case msgpcode.IsFixedMap(code):
		n = int(code & msgpcode.FixedMapMask)
	case code == msgpcode.Map16:
		n, err = r.length(2)
	case code == msgpcode.Map32:
		n, err = r.length(4)
	default:
		return 0, false, nil
	}
	if err == nil {
		err = r.checkCount(2 * n)
	}
	return n, true, err
}

// ArrayLength reads the header of an array and returns the number of its elements, which is at most Remaining. The caller
// reads the elements. Nil is an empty array.
func (r *Reader) ArrayLength() (int, error) {
	code, err := r.code()
	if err != nil || code == msgpcode.Nil {
		return 0, err
	}
	n, ok, err := r.arrayLength(code)
	if !ok {
		return 0, &TypeError{code, "an array"}
	}
	return n, err
}

// Struct reads a struct, which is a map by field name, an array of all fields in their order, or nil. It calls read with the
// index of each known field, and read must read exactly the field's value. Unknown fields are skipped.
func (r *Reader) Struct(fields []string, read func(field int) error) error {
	code, err := r.code()
	if err != nil || code == msgpcode.Nil {
		return err
	}
	if entries, ok, err := r.mapLength(code); ok {
		if err != nil {
			return err
		}
		return r.structMap(entries, fields, read)
	}
	elements, ok, err := r.arrayLength(code)
	switch {
	case !ok:
		return &TypeError{code, "a map"}
	case err != nil:
		return err
	case elements == 0:
		return nil
	case elements != len(fields):
		return fmt.Errorf("an array of %d elements instead of a struct with %d fields", elements, len(fields))
	}
	for field := range fields {
		if err := read(field); err != nil {
			return fmt.Errorf("%s: %w", fields[field], err)
		}
	}
	return nil
}

// structMap reads the entries of a struct that is encoded as a map.
func (r *Reader) structMap(entries int, fields []string, read func(field int) error) error {
	for range entries {
		name, err := r.bytes()
		if err != nil {
			return fmt.Errorf("a name of a field: %w", err)
		}
		field := indexOf(fields, name)
		if field < 0 {
			if err := r.Skip(); err != nil {
				return fmt.Errorf("an unknown field: %w", err)
			}
			continue
		}
		if err := read(field); err != nil {
			return fmt.Errorf("%s: %w", fields[field], err)
		}
	}
	return nil
}

// indexOf returns the index of a name in fields, or -1.
func indexOf(fields []string, name []byte) int {
	for i, field := range fields {
		if field == string(name) {
			return i
		}
	}
	return -1
}

// bytes reads a string or binary data. The result shares memory with the data. Nil is empty.
func (r *Reader) bytes() ([]byte, error) {
	code, err := r.code()
	if err != nil || code == msgpcode.Nil {
		return nil, err
	}
	n, ok, err := r.stringLength(code)
	switch {
	case !ok:
		return nil, &TypeError{code, "a string"}
	case err != nil:
		return nil, err
	}
	return r.take(n)
}

// stringLength returns the number of bytes of a string or binary data with the given code. ok is false for a code of another
// type.
func (r *Reader) stringLength(code byte) (n int, ok bool, err error) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		n, err = r.length(1)
	case msgpcode.Str16, msgpcode.Bin16:
		n, err = r.length(2)
	case msgpcode.Str32, msgpcode.Bin32:
		n, err = r.length(4)
	default:
		return int(code & msgpcode.FixedStrMask), msgpcode.IsFixedString(code), nil
	}
	return n, true, err
}

// String reads a string or binary data.
func (r *Reader) String() (string, error) {
	b, err := r.bytes()
	return string(b), err
}

// Bool reads a boolean.
func (r *Reader) Bool() (bool, error) {
	code, err := r.code()
	switch {
	case err != nil:
		return false, err
	case code == msgpcode.Nil || code == msgpcode.False:
		return false, nil
	case code == msgpcode.True:
		return true, nil
	}
	return false, &TypeError{code, "a boolean"}
}

// Int reads a signed or unsigned integer. An unsigned integer above math.MaxInt64 wraps around.
func (r *Reader) Int() (int64, error) {
	code, err := r.code()
	if err != nil {
		return 0, err
	}
	return r.intOf(code)
}

// Uint is Int for unsigned integers. A negative integer wraps around.
func (r *Reader) Uint() (uint64, error) {
	n, err := r.Int()
	return uint64(n), err
}

// intOf reads the rest of an integer with the given code.
func (r *Reader) intOf(code byte) (int64, error) {
	if msgpcode.IsFixedNum(code) {
		return int64(int8(code)), nil
	}
	switch code {
	case msgpcode.Nil:
		return 0, nil
	case msgpcode.Uint8:
		n, err := r.uint(1)
		return int64(n), err
	case msgpcode.Int8:
		n, err := r.uint(1)
		return int64(int8(n)), err
	case msgpcode.Uint16:
		n, err := r.uint(2)
		return int64(n), err
	case msgpcode.Int16:
		n, err := r.uint(2)
		return int64(int16(n)), err
	case msgpcode.Uint32:
		n, err := r.uint(4)
		return int64(n), err
	case msgpcode.Int32:
		n, err := r.uint(4)
		return int64(int32(n)), err
	case msgpcode.Uint64, msgpcode.Int64:
		n, err := r.uint(8)
		return int64(n), err
	}
	return 0, &TypeError{code, "an integer"}
}

// Float reads a floating-point number or an integer.
func (r *Reader) Float() (float64, error) {
	code, err := r.code()
	if err != nil {
		return 0, err
	}
	switch code {
	case msgpcode.Float:
		bits, err := r.uint(4)
		return float64(math.Float32frombits(uint32(bits))), err
	case msgpcode.Double:
		bits, err := r.uint(8)
		return math.Float64frombits(bits), err
	}
	n, err := r.intOf(code)
	return float64(n), err
}
