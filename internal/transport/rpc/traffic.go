package rpc

import (
	"sync"
	"sync/atomic"
)

// Traffic is what this process has exchanged with other processes since its start.
type Traffic struct {
	BytesIn, BytesOut   uint64 // on connections, below TLS where that is used
	FramesIn, FramesOut uint64
	Methods             map[string]MethodTraffic
}

// MethodTraffic is the part of the traffic that belongs to one method: its messages, of requests and answers.
type MethodTraffic struct {
	MessagesIn, MessagesOut uint64
	BytesIn, BytesOut       uint64
}

// meter counts the messages of one method.
type meter struct {
	messagesIn, messagesOut, bytesIn, bytesOut atomic.Uint64
}

func (m *meter) sent(bytes int) {
	m.messagesOut.Add(1)
	m.bytesOut.Add(uint64(bytes))
}

func (m *meter) received(bytes int) {
	m.messagesIn.Add(1)
	m.bytesIn.Add(uint64(bytes))
}

// unknownMethod stands for all methods that a peer names and this process does not have.
const unknownMethod = "unknown"

var (
	framesIn, framesOut       atomic.Uint64
	wireBytesIn, wireBytesOut atomic.Uint64
	meters                    sync.Map // of *meter, by method
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
		BytesIn: wireBytesIn.Load(), BytesOut: wireBytesOut.Load(), FramesIn: framesIn.Load(), FramesOut: framesOut.Load(),
		Methods: map[string]MethodTraffic{},
	}
	meters.Range(func(method, m any) bool {
		c := m.(*meter)
		t.Methods[method.(string)] = MethodTraffic{
			MessagesIn: c.messagesIn.Load(), MessagesOut: c.messagesOut.Load(), BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		}
		return true
	})
	return t
}
