package wire

import (
	"reflect"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// callPrefix begins the paths of all calls.
const callPrefix = "/twirp/"

const (
	// growth is the memory for each byte of a slice that grows element by element.
	growth = 5
	// allocationBytes is the smallest allocation, oneofBytes the memory for a field of
	// a oneof, and entryBytes that for an entry of a map.
	allocationBytes = 16
	numberBytes     = 8
	oneofBytes      = 32
	entryBytes      = 256
	// jsonTokenBytes is the memory for a value in JSON besides its text, and
	// jsonTextFactor that for each byte of text.
	jsonTokenBytes = 192
	jsonTextFactor = 5
)

// DecodingMemory returns a bound on the memory in bytes that it takes to decode the
// body of a call to path. It is 0 if there is no such call.
func DecodingMemory(path string, isJSON bool, body []byte) int64 {
	m := requestOf(path)
	switch {
	case m == nil:
		return 0
	case isJSON:
		return m.jsonMemory(body)
	}
	return m.memory(body, protowire.DefaultRecursionLimit)
}

// message is what is needed to tell how much memory a message takes.
type message struct {
	// bytes is the size of the message without what it refers to, and largest that of
	// the largest message inside of it.
	bytes, largest int64
	// jsonBytes is the length of the message in JSON if no field is set.
	jsonBytes int64
	fields    map[protowire.Number]*field
}

// field is a field of a message.
type field struct {
	kind protoreflect.Kind
	// message is nil unless the field is a message or a map.
	message  *message
	isList   bool
	isMap    bool
	hasOneof bool
}

// requests caches the requests of calls by path.
var requests sync.Map // of string to *message

// requestOf returns the request of a call, or nil if there is none.
func requestOf(path string) *message {
	if m, ok := requests.Load(path); ok {
		return m.(*message)
	}
	serviceName, method, ok := strings.Cut(strings.TrimPrefix(path, callPrefix), "/")
	if !ok {
		return nil
	}
	d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(serviceName))
	service, isService := d.(protoreflect.ServiceDescriptor)
	if err != nil || !isService {
		return nil
	}
	call := service.Methods().ByName(protoreflect.Name(method))
	if call == nil {
		return nil
	}
	m := messageOf(call.Input())
	requests.Store(path, m)
	return m
}

// messages caches messages by name.
var messages sync.Map // of protoreflect.FullName to *message

// messageOf returns the message of a type.
func messageOf(d protoreflect.MessageDescriptor) *message {
	if m, ok := messages.Load(d.FullName()); ok {
		return m.(*message)
	}
	m := newMessage(d, map[protoreflect.FullName]*message{})
	messages.Store(d.FullName(), m)
	return m
}

// newMessage returns the message of a type. Known are those that were begun.
func newMessage(d protoreflect.MessageDescriptor, known map[protoreflect.FullName]*message) *message {
	if m := known[d.FullName()]; m != nil {
		return m
	}
	m := &message{bytes: entryBytes, jsonBytes: jsonMessageBytes, fields: map[protowire.Number]*field{}}
	known[d.FullName()] = m
	if t, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName()); err == nil {
		m.bytes = allocated(int64(reflect.TypeOf(t.Zero().Interface()).Elem().Size()))
	}
	m.largest = m.bytes
	for i := range d.Fields().Len() {
		fd := d.Fields().Get(i)
		f := &field{kind: fd.Kind(), isList: fd.IsList(), isMap: fd.IsMap(), hasOneof: fd.ContainingOneof() != nil}
		if fd.Message() != nil {
			f.message = newMessage(fd.Message(), known)
			m.largest = max(m.largest, f.message.largest)
		}
		m.fields[fd.Number()] = f
		m.jsonBytes += int64(len(fd.TextName())) + jsonFieldBytes
		if fd.DefaultEnumValue() != nil {
			m.jsonBytes += int64(len(fd.DefaultEnumValue().Name()))
		}
	}
	return m
}

// memory returns the memory for a message with these fields. What follows a malformed
// field is not decoded.
func (m *message) memory(b []byte, depth int) int64 {
	total := m.bytes
	var packed map[*field]int64
	for len(b) > 0 && depth > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			break
		}
		size := protowire.ConsumeFieldValue(number, kind, b[n:])
		if size < 0 {
			break
		}
		value := b[n : n+size]
		f := m.fields[number]
		switch {
		case f == nil:
			total += int64(n+size) * growth // kept as it is
		case kind == protowire.BytesType:
			content, _ := protowire.ConsumeBytes(value)
			total += f.contentMemory(content, depth)
			if f.isNumber() && f.isList {
				// Each packed part of a list copies those before it.
				if packed == nil {
					packed = map[*field]int64{}
				}
				packed[f] += int64(len(content))
				total += packed[f] * numberBytes
			}
		case f.isList:
			total += numberBytes * growth
		}
		if f != nil && f.hasOneof {
			total += oneofBytes
		}
		b = b[n+size:]
	}
	return total
}

// contentMemory returns the memory for a value of the field that has a length.
func (f *field) contentMemory(b []byte, depth int) int64 {
	switch {
	case f.isMap:
		return entryBytes + f.message.memory(b, depth-1)
	case f.message != nil:
		return 8*growth + f.message.memory(b, depth-1)
	case f.kind == protoreflect.StringKind || f.kind == protoreflect.BytesKind:
		n := allocated(int64(len(b)))
		if f.isList {
			n += 24 * growth
		}
		return n
	}
	return int64(len(b)) * numberBytes * growth // of at least one byte each
}

// isNumber reports whether the values of the field are numbers, enums or booleans.
func (f *field) isNumber() bool {
	return f.message == nil && f.kind != protoreflect.StringKind && f.kind != protoreflect.BytesKind
}

// jsonMemory returns the memory for a message in JSON.
func (m *message) jsonMemory(b []byte) int64 {
	objects, values, inText := int64(1), int64(1), false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '{':
			objects++
		case c == ',' || c == '[' || c == ':':
			values++
		}
	}
	return objects*m.largest + values*jsonTokenBytes + int64(len(b))*jsonTextFactor
}

// allocated returns a bound on the memory of an allocation of n bytes.
func allocated(n int64) int64 {
	return (n + n/8 + allocationBytes - 1) / allocationBytes * allocationBytes
}
