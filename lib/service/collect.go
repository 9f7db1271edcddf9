// Package service reads the short files beside the services' code.
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

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	KindFile Kind = iota + 1
	KindNone
	// KindInvalid means that a value cannot be used.
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

// Collect reads every service file below the root of files into one. Errors
// name the file and the line.
func Collect(files fs.FS) (*wire.ServiceFile, error) {
	c := &collector{files: files, all: &wire.ServiceFile{}, owner: map[string]string{}}
	if err := fs.WalkDir(files, ".", c.visit); err != nil {
		return nil, &Error{Op: "collect", Kind: kindOf(err), Err: err}
	}
	if c.found == 0 {
		return nil, &Error{Op: "collect", Kind: KindNone, Err: eris.Errorf("no file named %s here; put one beside each service's code", FileName)}
	}
	return c.all, nil
}

// Read reads one service file; name stands for it in errors.
func Read(name string, b []byte) (*wire.ServiceFile, *settings.Lines, error) {
	file := &wire.ServiceFile{}
	lines, err := settings.Read(name, b, file)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{where: lines.At}
	c.file(file.GetServices(), file.GetTeams())
	return file, lines, c.err
}

// collector gathers service files.
type collector struct {
	files fs.FS
	all   *wire.ServiceFile
	found int
	// owner says where a service or team stands.
	owner map[string]string
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
	for i, one := range file.GetServices() {
		if err := c.own("service", one.GetName(), lines.At(fmt.Sprintf("services[%d].name", i))); err != nil {
			return err
		}
	}
	for i, team := range file.GetTeams() {
		if err := c.own("team", team.GetName(), lines.At(fmt.Sprintf("teams[%d].name", i))); err != nil {
			return err
		}
	}
	c.all.Services = append(c.all.Services, file.GetServices()...)
	c.all.Teams = append(c.all.Teams, file.GetTeams()...)
	return nil
}

// own refuses a name that another file has.
func (c *collector) own(what, name, where string) error {
	if other, found := c.owner[what+" "+name]; found {
		return &Error{Op: "check", Kind: KindInvalid, Err: eris.Errorf("%s: %s %q is also in %s; rename or drop one of them", where, what, name, other)}
	}
	c.owner[what+" "+name] = where
	return nil
}

// kindOf tells a wrong file from one that cannot be read.
func kindOf(err error) Kind {
	var read *settings.Error
	var check *Error
	if errors.As(err, &read) || errors.As(err, &check) {
		return KindInvalid
	}
	return KindFile
}
