package settings

import (
	"fmt"
	"strings"
)

// Lines holds the line numbers of the fields of a file, by paths such as
// "services[0].kinds[1].name".
type Lines struct {
	name   string
	byPath map[string]int
}

// At returns the position file:line of a field, or of the innermost enclosing
// field that the file has.
func (l *Lines) At(path string) string {
	for path != "" {
		if line, found := l.byPath[path]; found {
			return fmt.Sprintf("%s:%d", l.name, line)
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return l.name
}

// Has reports whether the file has a value for the field, also an empty one.
func (l *Lines) Has(path string) bool {
	_, found := l.byPath[path]
	return found
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
