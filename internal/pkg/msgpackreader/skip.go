package msgpackreader

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Skip passes over the next value of any type. It returns ErrTooDeep if the value exceeds the reader's depth limit, as soon as
// it has read one level too many.
func (r *Reader) Skip() error {
	if r.maxDepth == 0 {
		return r.skipAnyDepth()
	}
	var space [16]int // on the stack; deeper values move the slice to the heap
	unread := append(space[:0], 1)
	for len(unread) > 0 {
		innermost := len(unread) - 1
		if unread[innermost] == 0 {
			unread = unread[:innermost]
			continue
		}
		unread[innermost]--
		elements, err := r.skipHeader()
		if err != nil {
			return err
		}
		if elements == 0 {
			continue
		}
		if len(unread) > r.maxDepth {
			return ErrTooDeep
		}
		unread = append(unread, elements)
	}
	return nil
}

// skipAnyDepth passes over the next value. It counts the values that are left in all open levels together, and so needs no
// memory per level.
func (r *Reader) skipAnyDepth() error {
	for unread := 1; unread > 0; unread-- {
		elements, err := r.skipHeader()
		if err != nil {
			return err
		}
		unread += elements
		if err := r.checkCount(unread - 1); err != nil {
			return err
		}
	}
	return nil
}

// skipHeader passes over a value without elements, or over the header of an array or map. It returns the number of elements
// that follow, where a map's entry has two.
func (r *Reader) skipHeader() (elements int, err error) {
	code, err := r.code()
	if err != nil {
		return 0, err
	}
	if n, ok, err := r.arrayLength(code); ok {
		return n, err
	}
	if n, ok, err := r.mapLength(code); ok {
		return 2 * n, err
	}
	size, err := r.scalarSize(code)
	if err != nil {
		return 0, err
	}
	_, err = r.take(size)
	return 0, err
}

// scalarSize returns the number of bytes after the header of a value without elements.
func (r *Reader) scalarSize(code byte) (int, error) {
	if n, ok, err := r.stringLength(code); ok {
		return n, err
	}
	if msgpcode.IsFixedNum(code) {
		return 0, nil
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return 1, nil
	case msgpcode.Uint16, msgpcode.Int16:
		return 2, nil
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 4, nil
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 8, nil
	}
	return r.extensionSize(code)
}

// extensionSize returns the number of bytes after the header of an extension value: those of its type and its data.
func (r *Reader) extensionSize(code byte) (n int, err error) {
	const typeSize = 1
	switch code {
	case msgpcode.FixExt1:
		n = 1
	case msgpcode.FixExt2:
		n = 2
	case msgpcode.FixExt4:
		n = 4
	case msgpcode.FixExt8:
		n = 8
	case msgpcode.FixExt16:
		n = 16
	case msgpcode.Ext8:
		n, err = r.length(1)
	case msgpcode.Ext16:
		n, err = r.length(2)
	case msgpcode.Ext32:
		n, err = r.length(4)
	default:
		return 0, fmt.Errorf("unknown code %#x", code)
	}
	return n + typeSize, err
}

// NextSize returns the number of bytes of the next value, whatever its depth. It does not change the position.
func (r *Reader) NextSize() (int, error) {
	start := r.offset
	err := r.skipAnyDepth()
	size := r.offset - start
	r.offset = start
	return size, err
}
