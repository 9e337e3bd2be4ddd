package mesh

import (
	"bytes"
	"encoding/binary"
	"math"
	"sort"
)

// Map is a MessagePack map with string keys. Its keys are encoded in sorted order.
type Map map[string]any

// Encode returns the MessagePack encoding of nil, bool, int, uint64, float64, string, Map, []Map and []any.
func Encode(v any) []byte {
	var b bytes.Buffer
	encode(&b, v)
	return b.Bytes()
}

func encode(b *bytes.Buffer, v any) {
	switch v := v.(type) {
	case nil:
		b.WriteByte(0xc0)
	case bool:
		if v {
			b.WriteByte(0xc3)
		} else {
			b.WriteByte(0xc2)
		}
	case int:
		encode(b, uint64(v))
	case uint64:
		b.WriteByte(0xcf)
		binary.Write(b, binary.BigEndian, v)
	case float64:
		b.WriteByte(0xcb)
		binary.Write(b, binary.BigEndian, math.Float64bits(v))
	case string:
		b.WriteByte(0xdb)
		binary.Write(b, binary.BigEndian, uint32(len(v)))
		b.WriteString(v)
	case Map:
		b.WriteByte(0xdf)
		binary.Write(b, binary.BigEndian, uint32(len(v)))
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			encode(b, k)
			encode(b, v[k])
		}
	case []Map:
		list := make([]any, len(v))
		for i := range v {
			list[i] = v[i]
		}
		encode(b, list)
	case []any:
		b.WriteByte(0xdd)
		binary.Write(b, binary.BigEndian, uint32(len(v)))
		for _, e := range v {
			encode(b, e)
		}
	default:
		panic("mesh: type is not encoded")
	}
}
