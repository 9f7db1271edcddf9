package cmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const explainedLog = `12.300 front-a {"msg":"entry: A job was received.","process":"entry-1","event":"jobReceived","job":"j"}
12.400 front-a {"msg":"entry: A job was refused and not run.","process":"entry-1","event":"jobRefused","job":"j","reason":"queueFull","queue":9}
`

func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.log")
	is.New(t).NoErr(os.WriteFile(file, []byte(explainedLog), 0o600))
	tests := []struct {
		name  string
		files []string
	}{
		{"standard input", nil},
		{"a file", []string{file}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			e := &env{in: strings.NewReader(explainedLog), out: &out}
			c := &cmdExplain{ID: "j", Files: test.files}
			is.NoErr(c.Run(e))
			is.True(strings.Contains(out.String(), "+100 ms   entry-1  jobRefused: A job was refused and not run. reason=queueFull queue=9"))
			is.True(strings.Contains(out.String(), "Likely cause (queueFull): "))
		})
	}
}

func TestExplainJSON(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	e := &env{in: strings.NewReader(explainedLog), out: &out}
	c := &cmdExplain{ID: "j", outputFlag: outputFlag{Output: "json"}}
	is.NoErr(c.Run(e))
	var x explanation
	is.NoErr(json.Unmarshal(out.Bytes(), &x))
	is.Equal(x.Cause, "queueFull")
	is.Equal(len(x.Lines), 2)
	is.Equal(x.Lines[1].AtMillis, int64(100))
}

func TestExplainUnknown(t *testing.T) {
	is := is.New(t)
	e := &env{in: strings.NewReader(explainedLog), out: &bytes.Buffer{}}
	err := (&cmdExplain{ID: "k"}).Run(e)
	var wrong *Error
	is.True(errors.As(err, &wrong))
	is.Equal(wrong.Kind, KindFailed)
}
