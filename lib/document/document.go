// Package document decodes JSON documents from other processes. A document that
// can be read only in part is refused as a whole.
package document

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// maxErrorBytes limits the text of an error, which quotes names of the document.
const maxErrorBytes = 256

// Value is a part of a document that is kept as it is. It may be null.
type Value = jsontext.Value

// Once is a field that is refused if it is repeated.
type Once[T any] struct {
	Value T
	set   bool
}

// onceType is implemented by all types Once.
var onceType = reflect.TypeFor[interface{ isOnce() }]()

func (Once[T]) isOnce() {}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (o *Once[T]) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	if o.set {
		return errRepeated
	}
	o.set = true
	return json.UnmarshalDecode(d, &o.Value)
}

// List is a list that is allocated at once. Other slices grow while they are decoded,
// and take several times the memory of their elements.
type List[T any] []T

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (l *List[T]) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	if d.PeekKind() == jsontext.KindBeginArray {
		*l = make(List[T], 0, countElements(d.UnreadBuffer()))
	}
	return json.UnmarshalDecode(d, (*[]T)(l))
}

// countElements returns the number of elements of the list that begins in b, and 0 if
// it doesn't end.
func countElements(b []byte) int {
	n, depth, inText, hasElement := 0, 0, false, false
	for i := max(bytes.IndexByte(b, '['), 0); i < len(b); i++ {
		switch c := b[i]; {
		case inText:
			switch c {
			case '\\':
				i++
			case '"':
				inText = false
			}
		case c == '[' || c == '{':
			hasElement = hasElement || depth > 0
			depth++
		case c == ']' || c == '}':
			if depth--; depth == 0 && hasElement {
				return n + 1
			} else if depth == 0 {
				return 0
			}
		case c == ',' && depth == 1:
			n++
		case c == '"':
			inText, hasElement = true, true
		case c != ' ' && c != '\t' && c != '\r' && c != '\n':
			hasElement = true
		}
	}
	return 0
}

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindSyntax marks bytes that aren't one JSON document, or a repeated name.
	KindSyntax Kind = iota + 1
	// KindValue marks a value of the wrong type, or null.
	KindValue
	// KindUnknown marks a field that v has not.
	KindUnknown
	// KindMemory marks a document for which there was no memory.
	KindMemory
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	// Field is the path of the field that is wrong, such as tasks[1].payload. It is
	// empty if the whole document is.
	Field string
	Err   error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errNull     = eris.New("cannot decode the document: null is not a value")
	errRepeated = errors.New("the field is repeated")

	errNoMemory     = &Error{Op: "decode", Kind: KindMemory, Err: eris.New("there is no memory left to decode the document")}
	errRepeatedName = errors.New("a name is repeated")
)

// rules tell what a document may contain besides known fields with a value each.
type rules struct {
	// nulls are allowed for any field. Others than Values count as missing.
	nulls bool
	// repeatedNames are allowed inside a Value.
	repeatedNames bool
	unknownFields bool
}

// Decode decodes the only document in b. Names must match in case, and none may be
// repeated; a null is refused; text must be valid Unicode. Unknown fields are
// ignored. A missing field is left as it is, so that required ones should be
// pointers.
func Decode(b []byte, v any) error { return DecodeWithin(b, v, unlimited) }

// DecodeWithin is Decode. Before it decodes it calls reserve with the memory that this
// takes, in bytes, and fails with KindMemory if that returns false.
func DecodeWithin(b []byte, v any, reserve func(bytes int64) bool) error {
	return decode(b, v, reserve, rules{unknownFields: true})
}

// DecodeKnown is Decode, and refuses unknown fields.
func DecodeKnown(b []byte, v any) error {
	return decode(b, v, unlimited, rules{})
}

// DecodeOpen is DecodeWithin, but refuses unknown fields, and a name may be repeated
// inside a Value, which is not for this process to judge. Fields of v should be of
// type Once.
func DecodeOpen(b []byte, v any, reserve func(bytes int64) bool) error {
	return decode(b, v, reserve, rules{repeatedNames: true})
}

// DecodeSparse is Decode, but a field that is null counts as missing.
func DecodeSparse(b []byte, v any) error {
	return decode(b, v, unlimited, rules{nulls: true, unknownFields: true})
}

// unlimited reserves any memory.
func unlimited(int64) bool { return true }

// decode measures b before it decodes it. Repeated names and nulls are looked for by
// measure, which needs less memory for them than the decoder.
func decode(b []byte, v any, reserve func(int64) bool, r rules) error {
	n, err := measure(b, reflect.TypeOf(v), r, reserve)
	if err != nil {
		return newError(err)
	}
	if !reserve(n) {
		return errNoMemory
	}
	d := jsontext.NewDecoder(bytes.NewBuffer(b), jsontext.AllowDuplicateNames(true))
	if err := json.UnmarshalDecode(d, v, json.RejectUnknownMembers(!r.unknownFields)); err != nil {
		return newError(err)
	}
	if _, err := d.ReadToken(); !errors.Is(err, io.EOF) {
		return &Error{Op: "decode", Kind: KindSyntax, Err: eris.New("cannot decode the document: unexpected data after it")}
	}
	return nil
}

func newError(err error) *Error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	e := &Error{Op: "decode", Kind: KindSyntax, Err: eris.New(shorten("cannot decode the document: " + err.Error()))}
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return e
	}
	e.Kind = KindValue
	if errors.Is(err, json.ErrUnknownName) {
		e.Kind = KindUnknown
	}
	e.Field = shorten(path(semantic.JSONPointer))
	return e
}

// path returns the path of a field in the form tasks[1].payload.
func path(pointer jsontext.Pointer) string {
	var b strings.Builder
	for token := range pointer.Tokens() {
		_, err := strconv.ParseUint(token, 10, 64)
		switch {
		case err == nil:
			b.WriteString("[" + token + "]")
		case b.Len() > 0:
			b.WriteString("." + token)
		default:
			b.WriteString(token)
		}
	}
	return b.String()
}

func shorten(s string) string {
	if len(s) <= maxErrorBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxErrorBytes], "")
}
