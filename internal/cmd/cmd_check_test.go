package cmd

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestCheckDetectsFileType(t *testing.T) {
	const entry = "id: e1\nlisten: 127.0.0.1:1\ncontrol: ['127.0.0.1:2']\n"
	tests := []struct {
		file, text string
		kind       Kind
	}{
		{"local.yaml", entry, 0},
		{"local.yaml", entry + "announce: 127.0.0.1:3\n", 0},
		{"local.yaml", entry + "limit: {}\n", KindRefused},
		{"local.yaml", "services: []\n", 0},
		{"local.yaml", "colour: red\n", KindRefused},
		{"agent.yaml", entry, KindRefused},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), test.file)
			is.NoErr(os.WriteFile(file, []byte(test.text), 0o600))
			var out, wrong bytes.Buffer
			err := (&cmdCheck{Files: []string{file}, As: "name"}).Run(&env{out: &out, err: &wrong})
			var e *Error
			is.Equal(errors.As(err, &e), test.kind != 0)
			if e != nil {
				is.Equal(e.Kind, test.kind)
			}
		})
	}
}
