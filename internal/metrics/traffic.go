package metrics

import "ivydeck/internal/transport/rpc"

// traffic returns the gauges of what this process exchanges with others; each process shows them.
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
			Read: byMethod(func(m rpc.MethodTraffic) (in, out uint64) { return m.BytesReceived, m.BytesSent })},
		{Name: "ivydeck_rpc_method_messages", Help: "The same in messages.", Labels: []string{"method", "direction"},
			Read: byMethod(func(m rpc.MethodTraffic) (in, out uint64) { return m.MessagesReceived, m.MessagesSent })},
	}
}

// bothDirections returns a reading of each direction, behind the labels given.
func bothDirections(in, out uint64, labels ...string) []Reading {
	label := func(direction string) []string { return append(labels[:len(labels):len(labels)], direction) }
	return []Reading{{Value: float64(in), Labels: label("in")}, {Value: float64(out), Labels: label("out")}}
}

func byMethod(counts func(rpc.MethodTraffic) (in, out uint64)) func() []Reading {
	return func() (list []Reading) {
		for method, m := range rpc.ReadTraffic().Methods {
			in, out := counts(m)
			list = append(list, bothDirections(in, out, method)...)
		}
		return list
	}
}
