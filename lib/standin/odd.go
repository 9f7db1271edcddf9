package standin

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"skylarklane.example/lib/wire"
)

const (
	// maxOddDepth bounds how deeply the messages of OddCaller are nested.
	maxOddDepth = 5
	// maxOddItems bounds the length of their lists.
	maxOddItems = 4
)

// OddCaller calls the services of a process with messages that are well encoded
// and otherwise random, as a faulty peer or one of another version may send.
type OddCaller struct {
	Random *rand.Rand
	Client *http.Client
	// Incarnations and Words are put into messages, so that some name members,
	// shards and services that exist.
	Incarnations []*wire.Incarnation
	Words        []string
	// Except lists methods that are not called.
	Except []string
}

// Call sends n random requests to each method of a service of lib/wire, and
// returns the methods that panicked.
func (c *OddCaller) Call(address, service string, n int) []string {
	descriptor, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName("skylarklane.v1." + service))
	if err != nil {
		return []string{err.Error()}
	}
	methods := descriptor.(protoreflect.ServiceDescriptor).Methods()
	var panicked []string
	for i := range methods.Len() {
		method := methods.Get(i)
		if slices.Contains(c.Except, string(method.Name())) {
			continue
		}
		url := fmt.Sprintf("http://%s/twirp/%s/%s", address, descriptor.FullName(), method.Name())
		for range n {
			if reply := c.post(url, c.message(method.Input(), 0)); strings.Contains(reply, "panic") {
				panicked = append(panicked, string(method.FullName()))
			}
		}
	}
	return panicked
}

// post returns the reply to a request; an error of the transport is none, as the
// process may be cutting calls off.
func (c *OddCaller) post(url string, message protoreflect.Message) string {
	body, err := proto.Marshal(message.Interface())
	if err != nil {
		return ""
	}
	response, err := c.Client.Post(url, "application/protobuf", bytes.NewReader(body))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK {
		return ""
	}
	return string(reply)
}

// message returns a random message.
func (c *OddCaller) message(descriptor protoreflect.MessageDescriptor, depth int) protoreflect.Message {
	if len(c.Incarnations) > 0 && descriptor.FullName() == (&wire.Incarnation{}).ProtoReflect().Descriptor().FullName() && c.Random.IntN(2) == 0 {
		return c.Incarnations[c.Random.IntN(len(c.Incarnations))].ProtoReflect()
	}
	kind, err := protoregistry.GlobalTypes.FindMessageByName(descriptor.FullName())
	if err != nil {
		panic(err) // all messages of lib/wire are registered
	}
	m := kind.New()
	for i := range descriptor.Fields().Len() {
		field := descriptor.Fields().Get(i)
		switch {
		case c.Random.IntN(4) == 0, field.IsMap(), field.Message() != nil && depth >= maxOddDepth:
		case field.IsList():
			list := m.Mutable(field).List()
			for range c.Random.IntN(maxOddItems) {
				list.Append(c.value(field, depth))
			}
		default:
			m.Set(field, c.value(field, depth))
		}
	}
	return m
}

// value returns a random value of a field, often one at the end of its range.
func (c *OddCaller) value(field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	n := []int64{0, 1, 2, -1, math.MaxInt64, math.MinInt64, math.MaxInt32, c.Random.Int64N(2000)}[c.Random.IntN(8)]
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(c.Random.IntN(2) == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(c.Random.IntN(8) - 1))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(n)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64([]float64{0, 1, -1, math.Inf(1), math.NaN()}[c.Random.IntN(5)])
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(c.word())
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(make([]byte, []int{0, 1, 32, 4096}[c.Random.IntN(4)]))
	default:
		return protoreflect.ValueOfMessage(c.message(field.Message(), depth+1))
	}
}

// word returns a string that is known, empty, long or otherwise odd.
func (c *OddCaller) word() string {
	if len(c.Words) > 0 && c.Random.IntN(2) == 0 {
		return c.Words[c.Random.IntN(len(c.Words))]
	}
	return []string{"", "x", "\n", "\x00", "../x", "127.0.0.1:99999", "0.0.0", strings.Repeat("w", 5000)}[c.Random.IntN(8)]
}
