// Package page updates tables of results in pages: the text between two marks
// is replaced by the rendered result, and all other text is left unchanged.
package page

import (
	"strings"

	"github.com/rotisserie/eris"
)

const (
	openMark  = "<!-- result: "
	closeMark = "<!-- end of result -->"
	markEnd   = " -->"
)

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	// KindMark means that a mark is not closed or that its end mark is missing.
	KindMark Kind = iota + 1
	// KindRender means that a result could not be rendered.
	KindRender
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

// Fill returns text with each marked part replaced by what render returns for
// the name in the mark.
func Fill(text string, render func(name string) (string, error)) (string, error) {
	var filled strings.Builder
	for {
		before, after, found := strings.Cut(text, openMark)
		filled.WriteString(before)
		if !found {
			return filled.String(), nil
		}
		name, rest, found := strings.Cut(after, markEnd)
		if !found {
			return "", &Error{Op: "fill page", Kind: KindMark, Err: eris.New("a mark is not closed")}
		}
		_, rest, found = strings.Cut(rest, closeMark)
		if !found {
			return "", &Error{Op: "fill page", Kind: KindMark, Err: eris.Errorf("the end of result %s is missing", name)}
		}
		table, err := render(name)
		if err != nil {
			return "", &Error{Op: "fill page", Kind: KindRender, Err: eris.Wrap(err, name)}
		}
		filled.WriteString(openMark + name + markEnd + "\n\n" + strings.TrimSpace(table) + "\n\n" + closeMark)
		text = rest
	}
}
