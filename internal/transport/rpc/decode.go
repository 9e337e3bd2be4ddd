package rpc

import (
	"google.golang.org/protobuf/proto"

	"ivydeck/internal/transport/wire"
)

// bytesPerElement is the minimum size of an element's encoding, in bytes.
const bytesPerElement = 2

// decode decodes a received message. It returns a wire.ElementsError for one with more than maxElements elements, and
// ErrTooLarge while the process handles too many. The elements count until the stream receives its next message or ends.
func (s *Stream) decode(data []byte, m proto.Message) error {
	elements := 0
	if len(data) > freeElements*bytesPerElement {
		var err error
		if elements, err = wire.CountElements(data, m, maxElements); err != nil {
			return err
		}
	}
	if elements <= freeElements {
		elements = 0
	}
	if err := s.reserveElements(int64(elements)); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// reserveElements counts elements in place of those of the previous message.
func (s *Stream) reserveElements(elements int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseElements()
	if elements == 0 || s.endErr != nil { // after the end, nothing would release them
		return nil
	}
	if handledElements.Add(elements) > maxElementsAtOnce {
		handledElements.Add(-elements)
		return ErrTooLarge
	}
	s.elements = elements
	return nil
}

// releaseElements ends the count of the latest message's elements. The caller holds mu.
func (s *Stream) releaseElements() {
	if s.elements != 0 {
		handledElements.Add(-s.elements)
		s.elements = 0
	}
}
