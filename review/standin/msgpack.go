package main

import (
	"encoding/binary"
	"math"
)

// field is one entry of a msgpack map. Maps are slices of fields, so that their order is fixed.
type field struct {
	name  string
	value any
}

// object is a msgpack map.
type object []field

// pack appends the MessagePack encoding of a value: bool, int, float64, string, []any or object.
func pack(dst []byte, value any) []byte {
	switch v := value.(type) {
	case bool:
		if v {
			return append(dst, 0xc3)
		}
		return append(dst, 0xc2)
	case int:
		dst = append(dst, 0xd3)
		return binary.BigEndian.AppendUint64(dst, uint64(int64(v)))
	case float64:
		dst = append(dst, 0xcb)
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(v))
	case string:
		dst = append(dst, 0xdb)
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(v)))
		return append(dst, v...)
	case []any:
		dst = append(dst, 0xdd)
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(v)))
		for _, element := range v {
			dst = pack(dst, element)
		}
		return dst
	case object:
		dst = append(dst, 0xdf)
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(v)))
		for _, f := range v {
			dst = pack(pack(dst, f.name), f.value)
		}
		return dst
	}
	panic("msgpack: unsupported type")
}
