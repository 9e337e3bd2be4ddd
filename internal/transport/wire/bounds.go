package wire

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// ErrGroup is returned for a message that contains a group, an obsolete encoding that no message of this package uses.
// Decoders recurse once per nested group.
var ErrGroup = errors.New("wire: the message contains a group")

// ElementsError is returned for a message with too many elements.
type ElementsError struct{ Max int }

func (e *ElementsError) Error() string {
	return fmt.Sprintf("wire: the message has more than %d elements", e.Max)
}

// CountElements returns the number of elements in the encoding of a message: of embedded messages, and of strings in lists, at
// any level. An element may take two bytes encoded and a hundred in memory, so the count must be bounded before the message is
// decoded; all else takes memory in proportion to its size. CountElements returns an ElementsError if there are more than
// maximum, and ErrGroup for a group, without reading the rest. It ignores malformed data, which decoding rejects.
func CountElements(data []byte, m proto.Message, maximum int) (int, error) {
	c := counter{maximum: maximum}
	err := c.message(data, m.ProtoReflect().Descriptor().Fields())
	return c.elements, err
}

// Unmarshal decodes a message from outside the process that has at most maximum elements: see CountElements.
func Unmarshal(data []byte, m proto.Message, maximum int) error {
	if _, err := CountElements(data, m, maximum); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// RejectGroups returns ErrGroup for the encoding of a message without embedded messages that contains a group.
func RejectGroups(data []byte) error {
	for len(data) > 0 {
		_, wireType, size := protowire.ConsumeTag(data)
		if size < 0 {
			return nil // malformed
		}
		if wireType == protowire.StartGroupType {
			return ErrGroup
		}
		data = data[size:]
		size = scalarSize(data, wireType)
		if size < 0 {
			return nil // malformed
		}
		data = data[size:]
	}
	return nil
}

// counter counts the elements of one message.
type counter struct{ elements, maximum int }

// message counts the elements of a message with the given fields. The depth of its recursion is that of the schema.
func (c *counter) message(data []byte, fields protoreflect.FieldDescriptors) error {
	for len(data) > 0 {
		number, wireType, size := protowire.ConsumeTag(data)
		if size < 0 {
			return nil // malformed
		}
		data = data[size:]
		switch wireType {
		case protowire.StartGroupType:
			return ErrGroup
		case protowire.BytesType:
			value, size := protowire.ConsumeBytes(data)
			if size < 0 {
				return nil // malformed
			}
			if err := c.element(value, fields.ByNumber(number)); err != nil {
				return err
			}
			data = data[size:]
		default:
			size := scalarSize(data, wireType)
			if size < 0 {
				return nil // malformed
			}
			data = data[size:]
		}
	}
	return nil
}

// element counts a length-delimited value of a field, which is nil if the field is unknown.
func (c *counter) element(value []byte, field protoreflect.FieldDescriptor) error {
	if field == nil || field.Message() == nil && !field.IsList() {
		return nil
	}
	if c.elements++; c.elements > c.maximum {
		return &ElementsError{c.maximum}
	}
	if field.Message() == nil {
		return nil
	}
	return c.message(value, field.Message().Fields())
}

// scalarSize returns the size of a value that is no group, or a negative number if it is malformed.
func scalarSize(data []byte, wireType protowire.Type) int {
	switch wireType {
	case protowire.VarintType:
		_, size := protowire.ConsumeVarint(data)
		return size
	case protowire.Fixed32Type:
		_, size := protowire.ConsumeFixed32(data)
		return size
	case protowire.Fixed64Type:
		_, size := protowire.ConsumeFixed64(data)
		return size
	case protowire.BytesType:
		_, size := protowire.ConsumeBytes(data)
		return size
	}
	return -1
}
