package wire

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestElementsAreCounted checks the counts of messages in messages, and the errors at the bounds.
func TestElementsAreCounted(t *testing.T) {
	routes := &Changes{To: 3, Resources: []*Resource{
		{Index: 2, Value: &Resource_Route{Route: &Route{Name: "r", Backends: []*WeightedBackend{{Backend: "a", Weight: 1}, {Backend: "b"}}}}},
		{Index: 3, Value: &Resource_RemovedServer{RemovedServer: "s"}},
	}}
	const elements = 2 + 1 + 2 // resources, route, weighted backends
	data, err := proto.Marshal(routes)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := CountElements(data, routes, elements); n != elements || err != nil {
		t.Errorf("%d elements, error %v; want %d", n, err, elements)
	}
	decoded := new(Changes)
	if err := Unmarshal(data, decoded, elements); err != nil || !proto.Equal(decoded, routes) {
		t.Errorf("Unmarshal: error %v, message %v", err, decoded)
	}
	var tooMany *ElementsError
	if err := Unmarshal(data, decoded, elements-1); !errors.As(err, &tooMany) || tooMany.Max != elements-1 {
		t.Errorf("Unmarshal with a smaller bound: error %v", err)
	}
	if err := Unmarshal(data[:len(data)-1], decoded, elements); err == nil {
		t.Error("a truncated message was decoded")
	}
}

// TestStringsInListsAreCounted checks that strings count in lists, and not elsewhere.
func TestStringsInListsAreCounted(t *testing.T) {
	for want, m := range map[int]proto.Message{
		3: &RemoveServers{Members: []string{"a", "b", "c"}},
		0: &Server{Member: "m", Service: "s", Node: "n", Address: "a", Zone: "z"},
		2: &ProbeRequest{From: &Member{Name: "n", Zone: "z"}, Differing: []uint32{1, 2, 3}, Digest: 9}, // packed numbers are one element
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := CountElements(data, m, 10); n != want || err != nil {
			t.Errorf("%v: %d elements, error %v; want %d", m, n, err, want)
		}
	}
}

// TestNestedGroupsAreRejected guards against messages whose decoder recurses once per two bytes.
func TestNestedGroupsAreRejected(t *testing.T) {
	groups := bytes.Repeat([]byte{15<<3 | 3}, 10_000)
	inMember := append([]byte{2<<3 | 2, 0x90, 0x4e}, groups...) // in the first of ProbeRequest.updates
	if err := Unmarshal(inMember, new(ProbeRequest), 10); !errors.Is(err, ErrGroup) {
		t.Errorf("groups in an embedded message: error %v, want ErrGroup", err)
	}
	if err := RejectGroups(append([]byte{1 << 3, 1}, groups...)); !errors.Is(err, ErrGroup) {
		t.Errorf("groups: error %v, want ErrGroup", err)
	}
	frame, err := proto.Marshal(&Frame{Stream: 3, Method: "m", Data: []byte("d"), Last: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := RejectGroups(frame); err != nil {
		t.Errorf("a frame: error %v", err)
	}
}
