package wire

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// jsonNumberBytes is the longest number in JSON, and jsonFieldBytes the text of a
	// field besides its name and a value that is set.
	jsonNumberBytes = 26
	jsonFieldBytes  = 16
	// jsonMessageBytes is for a message besides its fields.
	jsonMessageBytes = 24
	// jsonGrowth is the memory for each byte of a text that grows value by value, and
	// encoderBytes that for the encoder itself.
	jsonGrowth   = 10
	encoderBytes = 512
	// jsonEscapeBytes is the length of a character that is escaped.
	jsonEscapeBytes = 6
)

// EncodingMemory returns a bound on the memory in bytes that it takes to encode a
// message, with all its fields in JSON.
func EncodingMemory(m proto.Message, isJSON bool) int64 {
	if isJSON {
		return encoderBytes + jsonTextBytes(m.ProtoReflect())*jsonGrowth
	}
	n := int64(proto.Size(m))
	return n + n/4 + encoderBytes // sizes of allocations are up to a quarter apart
}

// DecodedMemory returns a bound on the memory in bytes that it takes to decode b into a
// message of the type of m.
func DecodedMemory(m proto.Message, b []byte) int64 {
	return messageOf(m.ProtoReflect().Descriptor()).memory(b, protowire.DefaultRecursionLimit)
}

// jsonTextBytes returns a bound on the length of a message in JSON.
func jsonTextBytes(m protoreflect.Message) int64 {
	total := messageOf(m.Descriptor()).jsonBytes
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.IsList():
			for i := range v.List().Len() {
				total += jsonValueBytes(f, v.List().Get(i))
			}
		case f.IsMap():
			v.Map().Range(func(key protoreflect.MapKey, value protoreflect.Value) bool {
				total += jsonStringBytes(key.String()) + jsonValueBytes(f.MapValue(), value)
				return true
			})
		default:
			total += jsonValueBytes(f, v)
		}
		return true
	})
	return total
}

// jsonValueBytes returns a bound on the length of one value and a comma.
func jsonValueBytes(f protoreflect.FieldDescriptor, v protoreflect.Value) int64 {
	switch f.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		return jsonTextBytes(v.Message())
	case protoreflect.StringKind:
		return jsonStringBytes(v.String())
	case protoreflect.BytesKind:
		return int64(len(v.Bytes()))*3/2 + jsonFieldBytes
	case protoreflect.EnumKind:
		if one := f.Enum().Values().ByNumber(v.Enum()); one != nil {
			return int64(len(one.Name())) + jsonFieldBytes
		}
	}
	return jsonNumberBytes
}

// jsonStringBytes returns a bound on the length of a text and a comma.
func jsonStringBytes(s string) int64 {
	total := int64(len(s)) + jsonFieldBytes
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c == 0x7f {
			total += jsonEscapeBytes - 1
		}
	}
	return total
}
