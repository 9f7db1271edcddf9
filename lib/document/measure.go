package document

import (
	"bytes"
	"hash/maphash"
	"reflect"
	"slices"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

const (
	// decoderBytes is the memory for the decoder itself and its cache of strings.
	decoderBytes = 9 << 10
	// smallBytes is what a measurement takes without a reservation.
	smallBytes = 2 << 10
	// allocationUnit is the unit of small allocations, largestClass the largest of them,
	// and pageBytes the unit of others.
	allocationUnit = 16
	largestClass   = 32 << 10
	pageBytes      = 8 << 10
	// onceBytes is the memory for a Once while it is decoded, and listBytes that
	// for a list besides its elements.
	onceBytes = 16
	listBytes = 48
	// escapeFactor is the memory for each byte of a text with escapes, which is written
	// to a buffer that grows.
	escapeFactor = 3
	// valueCopies is how often the bytes of a Value are copied.
	valueCopies = 3
	// mapBytes is the memory for a map besides its text.
	mapBytes = 512
	// nameBytes is the memory for a name while it is compared with the others of its
	// object, and levelBytes that for an object or list that is open.
	nameBytes  = 8
	levelBytes = 64
	// maxDepth is the deepest nesting that the decoder accepts.
	maxDepth = 10_000
	// maxListBytes limits the memory of one list without what its elements refer to.
	maxListBytes = 8 << 20
)

// measurement is a pass over a document that finds repeated names and adds up the
// memory that decoding the document takes.
type measurement struct {
	d *jsontext.Decoder
	// bytes is the memory found so far.
	bytes int64
	seed  maphash.Seed
	// names are the hashes of the names in the open objects, the innermost last.
	names   []uint64
	levels  []level
	scratch []byte
	rules   rules
}

// level is an open object or list.
type level struct {
	shape *shape
	// isObject tells an object from a list, and expectsName a name from a value.
	isObject, expectsName bool
	// firstName is the index of the object's first name.
	firstName int
	// next is the shape of the next value of an object.
	next *shape
	// elements is the number of elements of a list so far.
	elements int64
	// start is the offset in the document.
	start int64
}

// measure returns the memory in bytes that it takes to decode b into a value of type
// t, besides what it has reserved for itself. It refuses a document with a repeated
// name or a null against the rules, and one that isn't JSON.
func measure(b []byte, t reflect.Type, r rules, reserve func(bytes int64) bool) (int64, error) {
	names, depth := countNames(b)
	if own := allocated(int64(names)*nameBytes) + allocated(int64(depth)*levelBytes); own > smallBytes && !reserve(own) {
		return 0, errNoMemory
	}
	m := &measurement{
		d:      jsontext.NewDecoder(bytes.NewBuffer(b), jsontext.AllowDuplicateNames(true)),
		bytes:  decoderBytes,
		seed:   maphash.MakeSeed(),
		names:  make([]uint64, 0, names),
		levels: make([]level, 0, depth),
		rules:  r,
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem() // the caller's own value
	}
	if err := m.value(shapeOf(t)); err != nil {
		return 0, err
	}
	for len(m.levels) > 0 {
		if err := m.step(); err != nil {
			return 0, err
		}
	}
	return m.bytes, nil
}

// countNames returns the number of names in b, and how deep its objects and lists are
// nested.
func countNames(b []byte) (names, depth int) {
	open, inText := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == ':':
			names++
		case c == '[' || c == '{':
			open++
			depth = max(depth, open)
		case c == ']' || c == '}':
			open--
		}
	}
	return names, min(depth, maxDepth)
}

// step reads the next name or value of the innermost object or list, or its end.
func (m *measurement) step() error {
	l := &m.levels[len(m.levels)-1]
	switch kind := m.d.PeekKind(); {
	case kind == jsontext.KindEndObject || kind == jsontext.KindEndArray:
		return m.close(l)
	case l.expectsName:
		return m.name(l)
	case l.isObject:
		l.expectsName = true
		return m.value(l.next)
	case l.shape != nil && l.shape.element != nil:
		if l.elements++; l.elements*l.shape.elementBytes > maxListBytes {
			return &Error{Op: "decode", Kind: KindValue, Err: eris.New("a list has too many elements")}
		}
		m.bytes += l.shape.elementBytes + l.shape.elementBytes/8 // as in allocated
		return m.value(l.shape.element)
	default:
		return m.value(nil)
	}
}

// value reads a value, or the beginning of an object or list.
func (m *measurement) value(s *shape) error {
	if s != nil {
		m.bytes += s.own
	}
	kind := m.d.PeekKind()
	if kind != jsontext.KindBeginObject && kind != jsontext.KindBeginArray {
		v, err := m.d.ReadValue()
		if err != nil || s == nil {
			return err
		}
		if kind == jsontext.KindNull && !s.nullable && !m.rules.nulls {
			return &Error{Op: "decode", Kind: KindValue, Field: shorten(path(m.d.StackPointer())), Err: errNull}
		}
		m.bytes += s.copies * textBytes(v)
		return nil
	}
	start := m.d.InputOffset()
	if _, err := m.d.ReadToken(); err != nil {
		return err
	}
	l := level{shape: s, isObject: kind == jsontext.KindBeginObject, firstName: len(m.names), start: start}
	l.expectsName = l.isObject
	m.levels = append(m.levels, l)
	return nil
}

// textBytes returns the memory for a text of this form in a document.
func textBytes(quoted []byte) int64 {
	n := allocated(int64(len(quoted)))
	if bytes.IndexByte(quoted, '\\') >= 0 {
		n *= escapeFactor
	}
	return n
}

// name reads the name of a field.
func (m *measurement) name(l *level) error {
	quoted, err := m.d.ReadValue()
	if err != nil {
		return err
	}
	text := []byte(quoted[1 : len(quoted)-1])
	if bytes.IndexByte(text, '\\') >= 0 {
		if m.scratch, err = jsontext.AppendUnquote(m.scratch[:0], quoted); err != nil {
			return err
		}
		text = m.scratch
	}
	l.expectsName = false
	l.next = nil
	if l.shape != nil {
		l.next = l.shape.fields[string(text)]
	}
	if !m.rules.repeatedNames {
		m.names = append(m.names, maphash.Bytes(m.seed, text))
	}
	return nil
}

// close reads the end of an object or list.
func (m *measurement) close(l *level) error {
	if _, err := m.d.ReadToken(); err != nil {
		return err
	}
	if l.shape != nil && l.shape.copies > 0 {
		m.bytes += l.shape.copies * allocated(m.d.InputOffset()-l.start)
	}
	names := m.names[l.firstName:]
	slices.Sort(names)
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return errRepeatedName
		}
	}
	m.names = m.names[:l.firstName]
	m.levels = m.levels[:len(m.levels)-1]
	return nil
}
