package settings

import (
	"encoding/base64"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxDepth bounds the nesting depth of a file.
const maxDepth = 32

// Tags of YAML values.
const (
	tagText  = "!!str"
	tagInt   = "!!int"
	tagFloat = "!!float"
	tagBool  = "!!bool"
	tagNull  = "!!null"
)

// reader reads YAML nodes into messages.
type reader struct {
	lines *Lines
}

// message reads a mapping into m.
func (r *reader) message(path string, node *yaml.Node, m protoreflect.Message, depth int) error {
	node = resolve(node)
	if depth > maxDepth {
		return r.syntaxError(node, "%s is nested too deeply", path)
	}
	if node.Tag == tagNull {
		return nil
	}
	if node.Kind != yaml.MappingNode {
		return r.syntaxError(node, "%s must be a mapping with fields such as %s", orFile(path), exampleField(m.Descriptor()))
	}
	seen := map[string]bool{}
	for i := 0; i < len(node.Content); i += 2 {
		key, value := node.Content[i], resolve(node.Content[i+1])
		field := fieldOf(m.Descriptor(), key.Value)
		if field == nil {
			return r.syntaxError(key, "unknown field %q%s", key.Value, nearest(key.Value, fieldNames(m.Descriptor())))
		}
		at := joinPath(path, field.JSONName())
		if seen[at] {
			return r.syntaxError(key, "%s is set twice", at)
		}
		seen[at] = true
		if value.Tag == tagNull {
			continue
		}
		r.lines.byPath[at] = key.Line
		if err := r.field(at, value, m, field, depth); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) field(path string, node *yaml.Node, m protoreflect.Message, field protoreflect.FieldDescriptor, depth int) error {
	switch {
	case field.IsMap():
		return r.syntaxError(node, "%s can't be set in a file", path)
	case field.IsList():
		return r.list(path, node, m.Mutable(field).List(), field, depth)
	case field.Kind() == protoreflect.MessageKind:
		return r.message(path, node, m.Mutable(field).Message(), depth+1)
	default:
		value, err := r.scalar(path, node, field)
		if err == nil {
			m.Set(field, value)
		}
		return err
	}
}

func (r *reader) list(path string, node *yaml.Node, list protoreflect.List, field protoreflect.FieldDescriptor, depth int) error {
	if node.Kind != yaml.SequenceNode {
		return r.syntaxError(node, "%s must be a list; start each item with \"- \"", path)
	}
	for i, item := range node.Content {
		item = resolve(item)
		at := fmt.Sprintf("%s[%d]", path, i)
		r.lines.byPath[at] = item.Line
		if field.Kind() == protoreflect.MessageKind {
			if err := r.message(at, item, list.AppendMutable().Message(), depth+1); err != nil {
				return err
			}
			continue
		}
		value, err := r.scalar(at, item, field)
		if err != nil {
			return err
		}
		list.Append(value)
	}
	return nil
}

func (r *reader) scalar(path string, node *yaml.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, error) {
	switch field.Kind() {
	case protoreflect.StringKind:
		if node.Tag != tagText {
			return protoreflect.Value{}, r.syntaxError(node, "%s must be text%s", path, quoteHint(node))
		}
		return protoreflect.ValueOfString(node.Value), nil
	case protoreflect.BoolKind:
		if node.Tag != tagBool {
			return protoreflect.Value{}, r.syntaxError(node, "%s must be true or false, not %q", path, node.Value)
		}
		return protoreflect.ValueOfBool(strings.EqualFold(node.Value, "true")), nil
	case protoreflect.EnumKind:
		return r.word(path, node, field.Enum())
	case protoreflect.BytesKind:
		b, err := base64.StdEncoding.DecodeString(node.Value)
		if err != nil {
			return protoreflect.Value{}, r.syntaxError(node, "%s must be base64", path)
		}
		return protoreflect.ValueOfBytes(b), nil
	case protoreflect.DoubleKind, protoreflect.FloatKind:
		return r.fraction(path, node, field)
	default:
		return r.number(path, node, field)
	}
}

// word reads an enum value by its name in files or its name in the schema.
func (r *reader) word(path string, node *yaml.Node, enum protoreflect.EnumDescriptor) (protoreflect.Value, error) {
	var words []string
	for i := range enum.Values().Len() {
		value := enum.Values().Get(i)
		word := Word(value)
		if node.Value == word || node.Value == string(value.Name()) {
			return protoreflect.ValueOfEnum(value.Number()), nil
		}
		if value.Number() != 0 {
			words = append(words, word)
		}
	}
	return protoreflect.Value{}, r.syntaxError(node, "%s is %q; it must be one of %s%s", path, node.Value, strings.Join(words, ", "), nearest(node.Value, words))
}

func (r *reader) fraction(path string, node *yaml.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, error) {
	value, err := strconv.ParseFloat(node.Value, 64)
	if err != nil || node.Tag != tagFloat && node.Tag != tagInt || math.IsInf(value, 0) || math.IsNaN(value) {
		return protoreflect.Value{}, r.syntaxError(node, "%s must be a number, not %q", path, node.Value)
	}
	if field.Kind() == protoreflect.FloatKind {
		return protoreflect.ValueOfFloat32(float32(value)), nil
	}
	return protoreflect.ValueOfFloat64(value), nil
}

func (r *reader) number(path string, node *yaml.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, error) {
	numberError := func(what string) (protoreflect.Value, error) {
		return protoreflect.Value{}, r.syntaxError(node, "%s must be a whole number%s, not %q", path, what, node.Value)
	}
	if node.Tag != tagInt {
		return numberError("")
	}
	switch field.Kind() {
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		value, err := strconv.ParseUint(node.Value, 0, 32)
		if err != nil {
			return numberError(fmt.Sprintf(" from 0 to %d", math.MaxUint32))
		}
		return protoreflect.ValueOfUint32(uint32(value)), nil
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		value, err := strconv.ParseUint(node.Value, 0, 64)
		if err != nil {
			return numberError(" from 0 to 2^64-1")
		}
		return protoreflect.ValueOfUint64(value), nil
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		value, err := strconv.ParseInt(node.Value, 0, 32)
		if err != nil {
			return numberError(" of 32 bits")
		}
		return protoreflect.ValueOfInt32(int32(value)), nil
	default:
		value, err := strconv.ParseInt(node.Value, 0, 64)
		if err != nil {
			return numberError(" of 64 bits")
		}
		return protoreflect.ValueOfInt64(value), nil
	}
}

func (r *reader) syntaxError(node *yaml.Node, format string, args ...any) error {
	return newError(KindSyntax, fmt.Sprintf("%s:%d", r.lines.name, node.Line), format, args...)
}

// Word returns the name of an enum's value in files: URGENCY_URGENT of Urgency
// is "urgent".
func Word(value protoreflect.EnumValueDescriptor) string {
	name := strings.ToLower(string(value.Name()))
	prefix := ""
	for i, c := range string(value.Parent().Name()) {
		if i > 0 && c >= 'A' && c <= 'Z' {
			prefix += "_"
		}
		prefix += strings.ToLower(string(c))
	}
	parts := strings.Split(strings.TrimPrefix(name, prefix+"_"), "_")
	for i := range parts[1:] {
		parts[i+1] = strings.ToUpper(parts[i+1][:1]) + parts[i+1][1:]
	}
	return strings.Join(parts, "")
}

func resolve(node *yaml.Node) *yaml.Node {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// fieldOf returns the field with that name in files or in the schema, nil if
// there is none.
func fieldOf(m protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if field := m.Fields().ByJSONName(name); field != nil {
		return field
	}
	return m.Fields().ByName(protoreflect.Name(name))
}

func fieldNames(m protoreflect.MessageDescriptor) []string {
	var names []string
	for i := range m.Fields().Len() {
		names = append(names, m.Fields().Get(i).JSONName())
	}
	slices.Sort(names)
	return names
}

func exampleField(m protoreflect.MessageDescriptor) string {
	return m.Fields().Get(0).JSONName() + ": ..."
}

func orFile(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}

func quoteHint(node *yaml.Node) string {
	if node.Kind == yaml.ScalarNode {
		return fmt.Sprintf(`; put it in quotes: "%s"`, node.Value)
	}
	return ""
}
