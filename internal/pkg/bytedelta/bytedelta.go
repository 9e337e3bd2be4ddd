// Package bytedelta encodes a byte string as a delta to a base: ranges to copy from the base, and literal bytes. The size of
// the delta is about that of the difference, wherever bytes were inserted or deleted.
package bytedelta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/bits"
)

const (
	blockSize   = 32 // size in bytes of the blocks of the base that are indexed to find moved ranges
	minCopy     = 12 // minimum length of a copy in bytes, as a copy step takes a few bytes itself
	maxReplaced = 16 // limit of the number of replaced bytes that matchInPlace skips

	hashFactor = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
)

// ErrMalformed is returned by Apply if the delta is invalid or was made for another base.
var ErrMalformed = errors.New("bytedelta: the delta does not fit the base")

// A delta is a sequence of steps. Each step begins with a uvarint: the length shifted left by one, with the low bit set for a
// copy. A copy continues with its offset in the base, as a varint relative to the end of the previous copy. A literal
// continues with its bytes.

// Encode returns a delta that Apply turns into target, given base.
func Encode(base, target []byte) []byte {
	e := encoder{base: base, target: target}
	offset, baseOffset := 0, 0 // baseOffset corresponds to offset unless bytes were inserted or deleted since the last copy
	for offset < len(target) {
		replaced, aligned := e.matchInPlace(offset, baseOffset)
		movedTo, movedBytes := e.matchMoved(offset, baseOffset)
		switch {
		case movedBytes >= minCopy && movedBytes > 2*(replaced+aligned):
			offset, baseOffset = e.appendCopy(offset, movedTo, movedBytes)
		case aligned >= minCopy || aligned > 0 && offset+aligned == len(target):
			offset, baseOffset = e.appendCopy(offset+replaced, baseOffset+replaced, aligned)
		default:
			offset++
			baseOffset++
		}
	}
	e.appendLiteral(len(target))
	return e.delta
}

// encoder builds one delta.
type encoder struct {
	base, target []byte
	delta        []byte
	written      int            // number of target bytes in the delta
	copyEnd      int            // end of the last copy, as an offset in the base
	blocks       map[uint64]int // offsets of the base's blocks, by hash; created on first use
}

// appendLiteral appends the target bytes from written to end.
func (e *encoder) appendLiteral(end int) {
	if end > e.written {
		e.delta = binary.AppendUvarint(e.delta, uint64(end-e.written)<<1)
		e.delta = append(e.delta, e.target[e.written:end]...)
		e.written = end
	}
}

// appendCopy appends a copy of n bytes, after the literal bytes before it. It returns the offsets after the copy.
func (e *encoder) appendCopy(offset, baseOffset, n int) (nextOffset, nextBase int) {
	e.appendLiteral(offset)
	e.delta = binary.AppendUvarint(e.delta, uint64(n)<<1|1)
	e.delta = binary.AppendVarint(e.delta, int64(baseOffset-e.copyEnd))
	e.written, e.copyEnd = offset+n, baseOffset+n
	return offset + n, baseOffset + n
}

// matchInPlace matches the target at offset with the base at baseOffset. It returns the number of replaced bytes before the
// match, fewer than maxReplaced, and the length of the match.
func (e *encoder) matchInPlace(offset, baseOffset int) (replaced, n int) {
	for replaced = range maxReplaced {
		if offset+replaced >= len(e.target) || baseOffset+replaced >= len(e.base) {
			break
		}
		n = commonPrefix(e.base[baseOffset+replaced:], e.target[offset+replaced:])
		if n >= minCopy {
			return replaced, n
		}
	}
	return 0, commonPrefix(e.base[min(baseOffset, len(e.base)):], e.target[offset:])
}

// matchMoved finds the target at offset elsewhere in the base, by the index of blocks. It returns the base offset and the
// length of the longest match. Directly after a copy it also looks up blocks that begin before offset: among similar records,
// matchInPlace may have replaced the bytes that identify a moved record.
func (e *encoder) matchMoved(offset, baseOffset int) (movedTo, n int) {
	firstBlock := offset
	if offset == e.written {
		firstBlock = max(0, offset-blockSize+1)
	}
	for block := firstBlock; block <= offset; block++ {
		blockOffset, ok := e.findBlock(block)
		if !ok || blockOffset-block == baseOffset-offset {
			continue
		}
		candidate := blockOffset + offset - block
		if m := commonPrefix(e.base[candidate:], e.target[offset:]); m > n {
			movedTo, n = candidate, m
		}
	}
	return movedTo, n
}

// ambiguous marks blocks that occur more than once in the base and thus do not identify an offset.
const ambiguous = -1

// findBlock returns the base offset of the block that begins at an offset of the target.
func (e *encoder) findBlock(offset int) (baseOffset int, ok bool) {
	if offset+blockSize > len(e.target) {
		return 0, false
	}
	if e.blocks == nil {
		e.indexBlocks()
	}
	block := e.target[offset : offset+blockSize]
	baseOffset, ok = e.blocks[hash(block)]
	return baseOffset, ok && baseOffset != ambiguous && bytes.Equal(block, e.base[baseOffset:baseOffset+blockSize])
}

// indexBlocks indexes the blocks of the base that begin at multiples of blockSize.
func (e *encoder) indexBlocks() {
	e.blocks = make(map[uint64]int, len(e.base)/blockSize)
	for i := 0; i+blockSize <= len(e.base); i += blockSize {
		h := hash(e.base[i:])
		if _, duplicate := e.blocks[h]; duplicate {
			e.blocks[h] = ambiguous
		} else {
			e.blocks[h] = i
		}
	}
}

// hash returns the hash of the first blockSize bytes of b.
func hash(b []byte) (h uint64) {
	for i := 0; i < blockSize; i += 8 {
		h = (h ^ binary.LittleEndian.Uint64(b[i:])) * hashFactor
		h ^= h >> 29
	}
	return h
}

// commonPrefix returns the length of the common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n, i := min(len(a), len(b)), 0
	for i+8 <= n {
		if diff := binary.LittleEndian.Uint64(a[i:]) ^ binary.LittleEndian.Uint64(b[i:]); diff != 0 {
			return i + bits.TrailingZeros64(diff)/8
		}
		i += 8
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

// Apply returns the target of a delta. It returns ErrMalformed if the target is longer than maxSize.
func Apply(base, delta []byte, maxSize int) ([]byte, error) {
	target := make([]byte, 0, min(len(base)+len(delta), maxSize))
	copyEnd := 0
	for len(delta) > 0 {
		header, size := binary.Uvarint(delta)
		if size <= 0 || header>>1 > uint64(maxSize-len(target)) {
			return nil, ErrMalformed
		}
		delta = delta[size:]
		n := int(header >> 1)
		if header&1 == 0 {
			if n > len(delta) {
				return nil, ErrMalformed
			}
			target = append(target, delta[:n]...)
			delta = delta[n:]
			continue
		}
		distance, size := binary.Varint(delta)
		if size <= 0 || distance < -int64(len(base)) || distance > int64(len(base)) {
			return nil, ErrMalformed
		}
		delta = delta[size:]
		start := copyEnd + int(distance)
		if start < 0 || n > len(base)-start {
			return nil, ErrMalformed
		}
		target = append(target, base[start:start+n]...)
		copyEnd = start + n
	}
	return target, nil
}
