package settings

import (
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// Guess returns the message among candidates that knows most of the fields at
// the top of the YAML text b, the first one of equals. It returns nil where
// none knows any.
func Guess(b []byte, candidates ...proto.Message) proto.Message {
	var fields map[string]yaml.Node
	if yaml.Unmarshal(b, &fields) != nil {
		return nil
	}
	var best proto.Message
	most := 0
	for _, m := range candidates {
		if n := known(fields, m); n > most {
			best, most = m, n
		}
	}
	return best
}

// known returns how many of the fields m has.
func known(fields map[string]yaml.Node, m proto.Message) int {
	n := 0
	descriptors := m.ProtoReflect().Descriptor().Fields()
	for name := range fields {
		if descriptors.ByJSONName(name) != nil {
			n++
		}
	}
	return n
}
