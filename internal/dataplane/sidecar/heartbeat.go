package sidecar

import (
	"errors"
	"fmt"
	"time"

	"ivydeck/internal/dataplane/proxy"
	"ivydeck/internal/pkg/msgpackreader"
)

const (
	maxWarmupMs = 600_000 // upper bound on warmup_left_ms
	maxSlots    = 1 << 20
)

// heartbeatBody is the msgpack body of a server's heartbeat. Its revision is not read.
type heartbeatBody struct {
	Backend  string
	Address  string
	Zone     string
	Slots    int64
	Status   string
	WarmupMs float64
	Sequence uint64
}

// heartbeatFields are the names of the fields, in the order in which an array holds them.
var heartbeatFields = []string{"backend", "address", "zone", "revision", "slots", "status", "warmup_left_ms", "call_seq"}

// decodeHeartbeat decodes a heartbeat. Bytes after it are ignored.
func decodeHeartbeat(body []byte) (b heartbeatBody, err error) {
	r := msgpackreader.New(body)
	err = r.Struct(heartbeatFields, func(field int) (err error) {
		switch heartbeatFields[field] {
		case "backend":
			b.Backend, err = r.String()
		case "address":
			b.Address, err = r.String()
		case "zone":
			b.Zone, err = r.String()
		case "revision":
			_, err = r.String()
		case "slots":
			b.Slots, err = r.Int()
		case "status":
			b.Status, err = r.String()
		case "warmup_left_ms":
			b.WarmupMs, err = r.Float()
		case "call_seq":
			b.Sequence, err = r.Uint()
		}
		return err
	})
	return b, err
}

// readHeartbeat decodes and validates a heartbeat. Its error is sent to the server as the body of the response.
func readHeartbeat(body []byte) (proxy.Heartbeat, error) {
	b, err := decodeHeartbeat(body)
	switch {
	case err != nil:
		return proxy.Heartbeat{}, fmt.Errorf("the heartbeat is not readable: %w", err)
	case b.Backend == "" || b.Address == "":
		return proxy.Heartbeat{}, errors.New("the heartbeat names no backend or address")
	case b.Status != "in_service" && b.Status != "draining":
		return proxy.Heartbeat{}, errors.New("the heartbeat's status is neither in_service nor draining")
	case b.Slots < 0 || b.Slots > maxSlots:
		return proxy.Heartbeat{}, errors.New("the heartbeat's slots are no number of slots")
	}
	return proxy.Heartbeat{
		Service: b.Backend, Address: b.Address, Zone: b.Zone, Slots: int(b.Slots), Draining: b.Status == "draining", Seq: b.Sequence,
		WarmupLeft: time.Duration(max(0, min(b.WarmupMs, maxWarmupMs)) * float64(time.Millisecond)),
	}, nil
}
