package rpc

import (
	"sync"
	"sync/atomic"
)

// Traffic counts what this process has sent and received over rpc connections since its start.
type Traffic struct {
	BytesReceived, BytesSent   uint64 // frames with their length prefix, without TLS overhead
	FramesReceived, FramesSent uint64
	Methods                    map[string]MethodTraffic
}

// MethodTraffic counts the messages of one method, requests and responses.
type MethodTraffic struct {
	MessagesReceived, MessagesSent uint64
	BytesReceived, BytesSent       uint64
}

// meter counts the messages of one method.
type meter struct {
	messagesReceived, messagesSent, bytesReceived, bytesSent atomic.Uint64
}

func (m *meter) sent(bytes int) {
	m.messagesSent.Add(1)
	m.bytesSent.Add(uint64(bytes))
}

func (m *meter) received(bytes int) {
	m.messagesReceived.Add(1)
	m.bytesReceived.Add(uint64(bytes))
}

// unknownMethod is the method name under which calls of methods without a handler are counted.
const unknownMethod = "unknown"

var (
	framesReceived, framesSent       atomic.Uint64
	wireBytesReceived, wireBytesSent atomic.Uint64
	meters                           sync.Map // map[string]*meter, by method
)

// meterOf returns the counters of a method. The counters are never removed.
func meterOf(method string) *meter {
	if m, ok := meters.Load(method); ok {
		return m.(*meter)
	}
	m, _ := meters.LoadOrStore(method, new(meter))
	return m.(*meter)
}

// meterOf returns the counters of a method named by a peer. All unknown names share a meter, which bounds the number of meters.
func (s *Server) meterOf(method string) *meter {
	if _, known := s.handlers[method]; !known {
		method = unknownMethod
	}
	return meterOf(method)
}

// ReadTraffic returns the current counts. The counters are read one by one, not as a consistent snapshot.
func ReadTraffic() Traffic {
	t := Traffic{
		BytesReceived: wireBytesReceived.Load(), BytesSent: wireBytesSent.Load(), FramesReceived: framesReceived.Load(), FramesSent: framesSent.Load(),
		Methods: map[string]MethodTraffic{},
	}
	meters.Range(func(method, m any) bool {
		c := m.(*meter)
		t.Methods[method.(string)] = MethodTraffic{
			MessagesReceived: c.messagesReceived.Load(), MessagesSent: c.messagesSent.Load(), BytesReceived: c.bytesReceived.Load(), BytesSent: c.bytesSent.Load(),
		}
		return true
	})
	return t
}
