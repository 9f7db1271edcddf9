// Package settings reads YAML files into messages of the schema. It refuses
// what the schema does not know and what is outside its range, and says where
// in the file that is.
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
		return failed(KindFile, path, "%v", err)
	}
	return Parse(path, b, m)
}

// Parse reads YAML text into m and checks it; name stands for the file in
// errors.
func Parse(name string, b []byte, m proto.Message) error {
	lines, err := Read(name, b, m)
	if err != nil {
		return err
	}
	return check(lines, m)
}

// Read reads YAML text into m without a look at ranges. It returns where each
// field stands.
func Read(name string, b []byte, m proto.Message) (*Lines, error) {
	lines := &Lines{name: name, byPath: map[string]int{}}
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return lines, nil
	}
	if err != nil {
		return nil, failed(KindSyntax, name, "%v", err)
	}
	if !errors.Is(decoder.Decode(&yaml.Node{}), io.EOF) {
		return nil, failed(KindSyntax, name, "there is more than one document; write one to a file")
	}
	r := &reader{lines: lines}
	if err := r.message("", document.Content[0], m.ProtoReflect(), 0); err != nil {
		return nil, err
	}
	return lines, nil
}
