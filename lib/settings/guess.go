package settings

import (
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// Guess returns the candidate that has most of the top-level fields of the YAML
// text b, the first one on a tie. It returns nil if no candidate has any of
// them.
func Guess(b []byte, candidates ...proto.Message) proto.Message {
	var fields map[string]yaml.Node
	if yaml.Unmarshal(b, &fields) != nil {
		return nil
	}
	var best proto.Message
	most := 0
	for _, m := range candidates {
		if n := countKnown(fields, m); n > most {
			best, most = m, n
		}
	}
	return best
}

// countKnown returns the number of fields that m has.
func countKnown(fields map[string]yaml.Node, m proto.Message) int {
	n := 0
	descriptors := m.ProtoReflect().Descriptor().Fields()
	for name := range fields {
		if descriptors.ByJSONName(name) != nil {
			n++
		}
	}
	return n
}
