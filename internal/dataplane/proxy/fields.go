package proxy

import (
	"bytes"
	"sync"

	"ivydeck/internal/dataplane/http1"
	"ivydeck/internal/transport/wire"
)

// maxPooledBuffer is the largest capacity of a buffer that is returned to the pool, in bytes.
const maxPooledBuffer = 64 << 10

// messageBuffers holds buffers for messages to clients and servers.
var messageBuffers = sync.Pool{New: func() any { return new([]byte) }}

// putBuffer returns a buffer to the pool. The buffer takes over the array of message, which was built by appending to it.
func putBuffer(buf *[]byte, message []byte) {
	if cap(message) <= maxPooledBuffer {
		*buf = message
		messageBuffers.Put(buf)
	}
}

// encodeFields converts the fields of a message from a node of the previous version, which sends them as a list, to lines of
// a head. It omits the Attempt-Id, which such a node includes in the list.
func encodeFields(headers []*wire.Header) []byte {
	dst := make([]byte, 0, 256)
	for _, header := range headers {
		if !http1.SameName(header.Name, "Attempt-Id") {
			dst = http1.AppendField(dst, header.Name, header.Value)
		}
	}
	return dst
}

// parseFields is the inverse of encodeFields: it converts lines of a head to a list and adds the Attempt-Id.
func parseFields(fields []byte, attemptID string) []*wire.Header {
	headers := []*wire.Header{{Name: "Attempt-Id", Value: attemptID}}
	for line := range bytes.SplitSeq(fields, []byte("\r\n")) {
		if name, value, ok := bytes.Cut(line, []byte(": ")); ok {
			headers = append(headers, &wire.Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
