package metrics

import "ivydeck/internal/transport/rpc"

// traffic returns the gauges of the RPC traffic between this process and others since its start.
func traffic() []Gauge {
	return []Gauge{
		{Name: "ivydeck_rpc_bytes", Help: "On connections to other processes, since the start.", Labels: []string{"direction"},
			Read: func() []Reading {
				t := rpc.ReadTraffic()
				return bothDirections(t.BytesReceived, t.BytesSent)
			}},
		{Name: "ivydeck_rpc_frames", Help: "The same in frames.", Labels: []string{"direction"},
			Read: func() []Reading {
				t := rpc.ReadTraffic()
				return bothDirections(t.FramesReceived, t.FramesSent)
			}},
		{Name: "ivydeck_rpc_method_bytes", Help: "Of the messages of a method, since the start.", Labels: []string{"method", "direction"},
			Read: byMethod(func(m rpc.MethodTraffic) (received, sent uint64) { return m.BytesReceived, m.BytesSent })},
		{Name: "ivydeck_rpc_method_messages", Help: "The same in messages.", Labels: []string{"method", "direction"},
			Read: byMethod(func(m rpc.MethodTraffic) (received, sent uint64) { return m.MessagesReceived, m.MessagesSent })},
	}
}

// bothDirections returns one reading for each direction. The direction is the last label.
func bothDirections(received, sent uint64, labels ...string) []Reading {
	label := func(direction string) []string { return append(labels[:len(labels):len(labels)], direction) }
	return []Reading{{Value: float64(received), Labels: label("in")}, {Value: float64(sent), Labels: label("out")}}
}

// byMethod returns a function for Gauge.Read that reads the traffic of each RPC method in both directions.
func byMethod(counts func(rpc.MethodTraffic) (received, sent uint64)) func() []Reading {
	return func() (list []Reading) {
		for method, m := range rpc.ReadTraffic().Methods {
			received, sent := counts(m)
			list = append(list, bothDirections(received, sent, method)...)
		}
		return list
	}
}
