package page

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

func TestFill(t *testing.T) {
	tests := []struct {
		name, text, want string
		fails            bool
	}{
		{"no mark", "text\n", "text\n", false},
		{"one mark", "a\n<!-- result: x -->\nold\n<!-- end of result -->\nb\n", "a\n<!-- result: x -->\n\nnew x\n\n<!-- end of result -->\nb\n", false},
		{"no end", "<!-- result: x -->\nold\n", "", true},
		{"not rendered", "<!-- result: missing -->\n<!-- end of result -->\n", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Fill(test.text, func(name string) (string, error) {
				if name == "missing" {
					return "", eris.New("no file")
				}
				return "new " + name + "\n", nil
			})
			is.Equal(err != nil, test.fails)
			is.Equal(got, test.want)
			if err != nil {
				return
			}
			again, err := Fill(got, func(name string) (string, error) { return "new " + name, nil })
			is.NoErr(err)
			is.Equal(again, got) // filling twice changes nothing
		})
	}
}
