package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sourceRoot is the root of the source tree that is searched for log calls.
const sourceRoot = "../.."

// TestSourcesKeepToCatalogue checks every call that refers to an event: each
// attribute key must be a field of that event. Each event must be logged
// somewhere.
func TestSourcesKeepToCatalogue(t *testing.T) {
	is := is.New(t)
	used := map[*Event]bool{}
	err := filepath.WalkDir(sourceRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				checkCall(t, files, n)
			case *ast.SelectorExpr:
				if e := eventNamed(n); e != nil && mayLog(path) {
					used[e] = true
				}
			}
			return true
		})
		return nil
	})
	is.NoErr(err)
	for _, e := range All() {
		if !used[e] {
			t.Errorf("nothing logs %s", e.Name())
		}
	}
}

// mayLog tells whether the file may log events; internal/story only reads them.
func mayLog(path string) bool { return !strings.Contains(path, "/internal/story/") }

// checkCall checks the attribute keys of a call that logs an event.
func checkCall(t *testing.T, files *token.FileSet, call *ast.CallExpr) {
	e := eventOf(call)
	if e == nil {
		return
	}
	for _, arg := range call.Args {
		ast.Inspect(arg, func(n ast.Node) bool {
			attr, ok := n.(*ast.CallExpr)
			if !ok || len(attr.Args) != 2 {
				return true
			}
			if key := keyOf(attr); key != "" && !hasField(e, key) {
				t.Errorf("%s: %s has no field %q", files.Position(attr.Pos()), e.Name(), key)
			}
			return true
		})
	}
}

// eventOf returns the event that a call logs: event.Name.Log(...), or a helper
// with event.Name among its arguments.
func eventOf(call *ast.CallExpr) *Event {
	if f, ok := call.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Log" {
		if e := eventNamed(f.X); e != nil {
			return e
		}
	}
	for _, arg := range call.Args {
		if e := eventNamed(arg); e != nil {
			return e
		}
	}
	return nil
}

// eventNamed returns the event that a selector expression event.Name refers to.
func eventNamed(x ast.Expr) *Event {
	s, ok := x.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	if p, ok := s.X.(*ast.Ident); !ok || p.Name != "event" {
		return nil
	}
	if s.Sel.Name == "Failed" {
		return Failed
	}
	return Lookup(strings.ToLower(s.Sel.Name[:1]) + s.Sel.Name[1:])
}

// keyOf returns the key of a call such as slog.Int("key", n).
func keyOf(attr *ast.CallExpr) string {
	key, ok := attr.Args[0].(*ast.BasicLit)
	if !ok || key.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(key.Value)
	if err != nil {
		return ""
	}
	return text
}

func hasField(e *Event, key string) bool {
	return slices.ContainsFunc(append(slices.Clone(CommonFields), e.Fields()...), func(f Field) bool { return f.Name == key })
}
