// Package settings reads YAML files into messages of the schema. It refuses
// unknown fields and values out of range; errors have the position in the file.
package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
)

// Load reads the YAML file at path into m and checks it.
func Load(path string, m proto.Message) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return newError(KindFile, path, "%v", err)
	}
	return Parse(path, b, m)
}

// Parse reads YAML text into m and checks it; name is the file name in errors.
func Parse(name string, b []byte, m proto.Message) error {
	lines, err := Read(name, b, m)
	if err != nil {
		return err
	}
	return check(lines, m)
}

// Read reads YAML text into m without checking ranges. It returns the positions
// of the fields.
func Read(name string, b []byte, m proto.Message) (*Lines, error) {
	lines := &Lines{name: name, byPath: map[string]int{}}
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return lines, nil
	}
	if err != nil {
		return nil, newError(KindSyntax, name, "%v", err)
	}
	if !errors.Is(decoder.Decode(&yaml.Node{}), io.EOF) {
		return nil, newError(KindSyntax, name, "the file has more than one YAML document")
	}
	r := &reader{lines: lines}
	if err := r.message("", document.Content[0], m.ProtoReflect(), 0); err != nil {
		return nil, err
	}
	return lines, nil
}
