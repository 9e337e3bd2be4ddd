package proxy

import (
	"bytes"
	"sync"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/transport/wire"
)

// maxRecycled is the size up to which a message's buffer is used again.
const maxRecycled = 64 << 10

// messages has buffers for what is written to a client or a server.
var messages = sync.Pool{New: func() any { return new([]byte) }}

// recycle gives a buffer back with what it has grown to.
func recycle(buf *[]byte, message []byte) {
	if cap(message) <= maxRecycled {
		*buf = message
		messages.Put(buf)
	}
}

// fieldLines are the fields that a node of the version before has sent one by one. It sends the request's id among them,
// which is told apart from them here.
func fieldLines(headers []*wire.Header) []byte {
	dst := make([]byte, 0, 256)
	for _, h := range headers {
		if !http1.SameName(h.Name, "Attempt-Id") {
			dst = http1.AppendField(dst, h.Name, h.Value)
		}
	}
	return dst
}

// headersOf is the opposite of lines.
func headersOf(fields []byte, attempt string) []*wire.Header {
	headers := []*wire.Header{{Name: "Attempt-Id", Value: attempt}}
	for line := range bytes.SplitSeq(fields, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			headers = append(headers, &wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
