package document

import (
	"reflect"
	"strings"
	"sync"
)

// shape is what decoding needs to know of a type to tell how much memory its values
// take. A nil shape is that of a value that is not decoded.
type shape struct {
	// own is the memory that a value takes besides the place in which it is stored.
	own int64
	// copies is how often the bytes of a value are copied.
	copies int64
	// nullable tells that null is a value.
	nullable bool
	// fields are the fields of a struct by name.
	fields map[string]*shape
	// element is the shape of a list's elements, and elementBytes their size.
	element      *shape
	elementBytes int64
}

// shapes caches the shapes of types.
var shapes sync.Map // of reflect.Type to *shape

var valueType = reflect.TypeFor[Value]()

// shapeOf returns the shape of a type.
func shapeOf(t reflect.Type) *shape {
	if s, ok := shapes.Load(t); ok {
		return s.(*shape)
	}
	s := newShape(t)
	shapes.Store(t, s)
	return s
}

func newShape(t reflect.Type) *shape {
	switch {
	case t == valueType:
		return &shape{copies: valueCopies, nullable: true}
	case t.Kind() == reflect.String:
		return &shape{copies: 1}
	case t.Implements(onceType):
		s := *shapeOf(t.Field(0).Type)
		s.own += onceBytes
		return &s
	}
	switch t.Kind() {
	case reflect.Pointer:
		s := *shapeOf(t.Elem())
		s.own += allocated(int64(t.Elem().Size()))
		return &s
	case reflect.Slice:
		return &shape{own: listBytes, element: shapeOf(t.Elem()), elementBytes: int64(t.Elem().Size())}
	case reflect.Map:
		return &shape{copies: valueCopies, own: mapBytes}
	case reflect.Struct:
		s := &shape{fields: map[string]*shape{}}
		s.addFields(t)
		return s
	}
	return &shape{}
}

// addFields adds the fields of a struct, and those of the structs embedded in it.
func (s *shape) addFields(t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name != "":
			s.fields[name] = shapeOf(f.Type)
		case f.Anonymous:
			s.addFields(f.Type)
		}
	}
}

// allocated returns a bound on the memory of an allocation of n bytes. The size
// classes of the allocator are at most an eighth larger than what they hold; larger
// allocations consist of pages.
func allocated(n int64) int64 {
	if n > largestClass {
		return n + pageBytes
	}
	return (n + n/8 + allocationUnit - 1) / allocationUnit * allocationUnit
}
