// Package settings reads YAML files into messages of the schema and refuses
// what the schema does not know.
package settings

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	KindFile Kind = iota + 1
	KindSyntax
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads the YAML file at path into m.
func Load(path string, m proto.Message) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: "read settings", Kind: KindFile, Err: eris.Wrap(err, path)}
	}
	return Parse(path, b, m)
}

// Parse reads YAML text into m; name stands for the file in errors.
func Parse(name string, b []byte, m proto.Message) error {
	var tree any
	if err := yaml.Unmarshal(b, &tree); err != nil {
		return &Error{Op: "read settings", Kind: KindSyntax, Err: eris.Wrap(err, name)}
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return &Error{Op: "read settings", Kind: KindSyntax, Err: eris.Wrap(err, name)}
	}
	if err := protojson.Unmarshal(text, m); err != nil {
		return &Error{Op: "read settings", Kind: KindSyntax, Err: eris.Wrap(err, name)}
	}
	return nil
}
