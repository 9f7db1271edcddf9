package settings

import (
	"fmt"
	"strings"
)

// Lines knows where the fields of a file stand. Paths are like
// "services[0].kinds[1].name".
type Lines struct {
	name   string
	byPath map[string]int
}

// At returns file:line of a field; of what it is in where it is absent.
func (l *Lines) At(path string) string {
	for path != "" {
		if line, found := l.byPath[path]; found {
			return fmt.Sprintf("%s:%d", l.name, line)
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return l.name
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
