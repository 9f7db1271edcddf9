// Package service reads and validates service files, which declare the services
// and teams of a repository beside the services' code.
package service

import (
	"errors"
	"fmt"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// FileName is the name of a service file.
const FileName = "skylarklane.yaml"

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	KindUnreadable Kind = iota + 1
	KindNotFound
	// KindInvalid marks a value that is not allowed.
	KindInvalid
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

// Collect merges all service files below the root of files into one. Errors
// name the file and the line.
func Collect(files fs.FS) (*wire.ServiceFile, error) {
	c := &collector{files: files, all: &wire.ServiceFile{}, definedAt: map[string]string{}}
	if err := fs.WalkDir(files, ".", c.visit); err != nil {
		return nil, &Error{Op: "collect", Kind: kindOf(err), Err: err}
	}
	if c.found == 0 {
		return nil, &Error{Op: "collect", Kind: KindNotFound, Err: eris.Errorf("no file named %s found; put one beside each service's code", FileName)}
	}
	return c.all, nil
}

// Read reads one service file; name identifies it in errors.
func Read(name string, b []byte) (*wire.ServiceFile, *settings.Lines, error) {
	file := &wire.ServiceFile{}
	lines, err := settings.Read(name, b, file)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{locate: lines.At}
	c.file(file.GetServices(), file.GetTeams())
	return file, lines, c.err
}

// collector merges service files.
type collector struct {
	files fs.FS
	all   *wire.ServiceFile
	found int
	// definedAt maps a service or team to the file and line that define it.
	definedAt map[string]string
}

func (c *collector) visit(name string, d fs.DirEntry, err error) error {
	if err != nil || d.IsDir() || path.Base(name) != FileName {
		return err
	}
	c.found++
	b, err := fs.ReadFile(c.files, name)
	if err != nil {
		return err
	}
	file, lines, err := Read(name, b)
	if err != nil {
		return err
	}
	for i, service := range file.GetServices() {
		if err := c.define("service", service.GetName(), lines.At(fmt.Sprintf("services[%d].name", i))); err != nil {
			return err
		}
	}
	for i, team := range file.GetTeams() {
		if err := c.define("team", team.GetName(), lines.At(fmt.Sprintf("teams[%d].name", i))); err != nil {
			return err
		}
	}
	c.all.Services = append(c.all.Services, file.GetServices()...)
	c.all.Teams = append(c.all.Teams, file.GetTeams()...)
	return nil
}

// define records a definition, or fails if another file has the same one.
func (c *collector) define(what, name, where string) error {
	if other, found := c.definedAt[what+" "+name]; found {
		return &Error{Op: "check", Kind: KindInvalid, Err: eris.Errorf("%s: %s %q is also in %s; rename or drop one of them", where, what, name, other)}
	}
	c.definedAt[what+" "+name] = where
	return nil
}

// kindOf tells an invalid file from one that cannot be read.
func kindOf(err error) Kind {
	var read *settings.Error
	var check *Error
	if errors.As(err, &read) || errors.As(err, &check) {
		return KindInvalid
	}
	return KindUnreadable
}
