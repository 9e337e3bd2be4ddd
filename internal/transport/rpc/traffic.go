package rpc

import (
	"sync"
	"sync/atomic"
)

// Traffic is what this process has exchanged with other processes since its start.
type Traffic struct {
	BytesReceived, BytesSent   uint64 // on connections, below TLS where that is used
	FramesReceived, FramesSent uint64
	Methods                    map[string]MethodTraffic
}

// MethodTraffic is the part of the traffic that belongs to one method: its messages, of requests and answers.
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

// unknownMethod is the meter of all methods that peers name and this process does not have.
const unknownMethod = "unknown"

var (
	framesReceived, framesSent       atomic.Uint64
	wireBytesReceived, wireBytesSent atomic.Uint64
	meters                           sync.Map // of *meter, by method
)

// meterOf returns the counters of a method. Methods are few: names that peers make up share one meter.
func meterOf(method string) *meter {
	if m, ok := meters.Load(method); ok {
		return m.(*meter)
	}
	m, _ := meters.LoadOrStore(method, new(meter))
	return m.(*meter)
}

// meterOf returns the counters of a method that a peer has named.
func (s *Server) meterOf(method string) *meter {
	if _, known := s.handlers[method]; !known {
		method = unknownMethod
	}
	return meterOf(method)
}

// ReadTraffic returns the counts of this process.
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
