// Package bytedelta encodes a byte string as a delta to another: the ranges that are copied, and the bytes in between.
// It costs about what differs, wherever bytes were put in or taken out. Its functions are pure.
package bytedelta

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/bits"
)

const (
	blockSize   = 32 // ranges that moved are found by blocks of the base
	minCopy     = 12 // a copy costs a few bytes itself
	searchAhead = 16 // so many bytes may be replaced before what follows is looked for elsewhere

	hashFactor = 0x9E3779B97F4A7C15
)

// ErrMalformed is an error of Apply: the delta is none, or one for another base.
var ErrMalformed = errors.New("bytedelta: the delta does not fit the base")

// A delta is a row of steps. Each begins with a number, twice the length and one more for a copy. A copy's offset in the
// base follows, less the end of the copy before; else so many bytes do.

// Encode returns the delta that leads from a base to a target.
func Encode(base, target []byte) []byte {
	e := encoder{base: base, target: target}
	at, inBase := 0, 0 // inBase lines up with at, if nothing was put in or taken out since the last copy
	for at < len(target) {
		replaced, aligned := e.aligned(at, inBase)
		movedTo, movedBytes := e.moved(at, inBase)
		switch {
		case movedBytes >= minCopy && movedBytes > 2*(replaced+aligned):
			at, inBase = e.copyRange(at, movedTo, movedBytes)
		case aligned >= minCopy || aligned > 0 && at+aligned == len(target):
			at, inBase = e.copyRange(at+replaced, inBase+replaced, aligned)
		default:
			at++
			inBase++
		}
	}
	e.literal(len(target))
	return e.delta
}

// encoder makes one delta.
type encoder struct {
	base, target []byte
	delta        []byte
	written      int            // of the target
	copyEnd      int            // in the base, of the last copy
	blocks       map[uint64]int // where blocks of the base begin, by their hash; made when it is needed
}

// literal puts the target's bytes up to an offset into the delta.
func (e *encoder) literal(upTo int) {
	if upTo > e.written {
		e.delta = binary.AppendUvarint(e.delta, uint64(upTo-e.written)<<1)
		e.delta = append(e.delta, e.target[e.written:upTo]...)
		e.written = upTo
	}
}

// copyRange puts a copy into the delta, and returns where both sides are behind it.
func (e *encoder) copyRange(at, inBase, n int) (nextAt, nextInBase int) {
	e.literal(at)
	e.delta = binary.AppendUvarint(e.delta, uint64(n)<<1|1)
	e.delta = binary.AppendVarint(e.delta, int64(inBase-e.copyEnd))
	e.written, e.copyEnd = at+n, inBase+n
	return at + n, inBase + n
}

// aligned returns how many bytes are the same on both sides, behind some that are replaced.
func (e *encoder) aligned(at, inBase int) (replaced, n int) {
	for replaced = range searchAhead {
		if at+replaced >= len(e.target) || inBase+replaced >= len(e.base) {
			break
		}
		n = commonPrefix(e.base[inBase+replaced:], e.target[at+replaced:])
		if n >= minCopy {
			return replaced, n
		}
	}
	return 0, commonPrefix(e.base[min(inBase, len(e.base)):], e.target[at:])
}

// moved returns another place in the base at which the target goes on from an offset, and for how many bytes. Right
// behind a copy a block may begin before the offset: where records are alike, their names may have been replaced in line.
func (e *encoder) moved(at, inBase int) (moved, n int) {
	from := at
	if at == e.written {
		from = max(0, at-blockSize+1)
	}
	for block := from; block <= at; block++ {
		begin, ok := e.find(block)
		if !ok || begin-block == inBase-at {
			continue
		}
		offset := begin + at - block
		if m := commonPrefix(e.base[offset:], e.target[at:]); m > n {
			moved, n = offset, m
		}
	}
	return moved, n
}

// ambiguous marks blocks that the base has more than once, which identify no position.
const ambiguous = -1

// find returns where the base has the block that begins at an offset of the target.
func (e *encoder) find(at int) (inBase int, ok bool) {
	if at+blockSize > len(e.target) {
		return 0, false
	}
	if e.blocks == nil {
		e.indexBlocks()
	}
	block := e.target[at : at+blockSize]
	inBase, ok = e.blocks[hash(block)]
	return inBase, ok && inBase != ambiguous && bytes.Equal(block, e.base[inBase:inBase+blockSize])
}

func (e *encoder) indexBlocks() {
	e.blocks = make(map[uint64]int, len(e.base)/blockSize)
	for i := 0; i+blockSize <= len(e.base); i += blockSize {
		h := hash(e.base[i:])
		if _, there := e.blocks[h]; there {
			e.blocks[h] = ambiguous
		} else {
			e.blocks[h] = i
		}
	}
}

// hash of the block that some bytes begin with.
func hash(b []byte) (h uint64) {
	for i := 0; i < blockSize; i += 8 {
		h = (h ^ binary.LittleEndian.Uint64(b[i:])) * hashFactor
		h ^= h >> 29
	}
	return h
}

func commonPrefix(a, b []byte) int {
	n, i := min(len(a), len(b)), 0
	for i+8 <= n {
		if differ := binary.LittleEndian.Uint64(a[i:]) ^ binary.LittleEndian.Uint64(b[i:]); differ != 0 {
			return i + bits.TrailingZeros64(differ)/8
		}
		i += 8
	}
	for i < n && a[i] == b[i] {
		i++
	}
	return i
}

// Apply returns the target of a delta, which has maxSize bytes at most.
func Apply(base, delta []byte, maxSize int) ([]byte, error) {
	target := make([]byte, 0, min(len(base)+len(delta), maxSize))
	copyEnd := 0
	for len(delta) > 0 {
		head, used := binary.Uvarint(delta)
		if used <= 0 || head>>1 > uint64(maxSize-len(target)) {
			return nil, ErrMalformed
		}
		delta = delta[used:]
		n := int(head >> 1)
		if head&1 == 0 {
			if n > len(delta) {
				return nil, ErrMalformed
			}
			target = append(target, delta[:n]...)
			delta = delta[n:]
			continue
		}
		move, used := binary.Varint(delta)
		if used <= 0 || move < -int64(len(base)) || move > int64(len(base)) {
			return nil, ErrMalformed
		}
		delta = delta[used:]
		from := copyEnd + int(move)
		if from < 0 || n > len(base)-from {
			return nil, ErrMalformed
		}
		target = append(target, base[from:from+n]...)
		copyEnd = from + n
	}
	return target, nil
}
